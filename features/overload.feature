@priorities
Feature: While endpoints lack capacity, requests are served by priority, and refused early
  The VMs and endpoints are those of homes.feature, with settings that schedule by priority. Each
  endpoint has 1 slot and needs 0.02 s for each statement, so the group serves 150 reads per second.
  Replicas can serve all reads on the routes "urgent" (priority 0), "usual" (1) and "background" (2).
  Their latency objective is 0.25 s, their timeout 1 s. Sessions of 8 workspaces are open at each VM
  on each route. Reads arrive on random ones.

  Background:
    Given routes "urgent", "usual" and "background" of the priorities 0, 1 and 2

  Scenario: The most urgent reads are served while twice as many arrive as the slots can serve
    Guards against a reversed order of service: all reads wait in the same queues.
    When 300 reads per second arrive on all routes for 4 s
    Then at least 0.8 of the reads on "urgent" were served within 0.25 s
    And a larger share of the reads was served within 0.25 s on "urgent" than on "usual"
    And a larger share of the reads was served within 0.25 s on "usual" than on "background"

  Scenario: No priority starves while more urgent reads arrive than the slots can serve
    Guards against starvation: each priority that waits has a share of the dispatches.
    When 300 reads per second arrive on "urgent" for 4 s, and 40 on "background"
    Then at least 0.05 of the reads on "background" were served within 1 s

  Scenario: Each lower priority gets its share of the dispatches while more urgent requests wait
    Given a queue that is ordered by priority
    When 100 requests are dispatched while requests of the priorities 0, 1 and 2 always wait
    Then at least 88 of priority 0 were dispatched, and at least 4 of each other one

  Scenario: The earliest objective is first while the load is sustainable
    Given a queue that is ordered by priority
    When requests that have waited for 0.01, 0.05, 0.02 s are pushed
    Then they are dispatched in the order 0.05, 0.02, 0.01 s

  Scenario: The newest request is first under overload, and late ones are last
    Guards against serving only requests that miss their objective.
    Given a queue that is ordered by priority
    When requests that have waited for 0.1, 0.5, 0.02, 0.05 s are pushed
    Then they are dispatched in the order 0.02, 0.05, 0.1, 0.5 s

  Scenario: The slots serve reads in time while twice as many arrive as they can serve
    Guards against metastable overload: statements that wait at an endpoint until their VM gives up.
    When 300 reads per second arrive on all routes for 4 s
    Then at least 0.9 of the reads that the slots can serve were answered within 0.25 s

  Scenario: Reads that cannot be answered in time any more are refused at once
    Guards against requests that are kept until their deadline and refused then, with no time left
    for their callers to try another VM.
    When 90 reads per second arrive on all routes for 2 s
    And 100 reads on "usual" arrive at "h1" at once
    Then half of the refused reads were refused within 0.15 s

  Scenario: A workspace that sends far more than the others takes no more than its share
    Guards against a noisy neighbour whose rate limit does not apply yet: workspaces take turns.
    When 300 reads per second of one workspace and 70 of the other ones arrive on "usual" for 4 s
    Then at least 0.85 of the reads of the other workspaces were served within 0.25 s
    And at least 0.8 of the reads that the slots can serve were answered within 0.25 s

  Scenario: The VMs retry a tenth of the reads at most, and urgent ones rather than others
    Guards against a retry storm: each VM has a budget of retries, of which 10 can be saved.
    When 300 reads per second arrive on all routes for 8 s
    Then at most 0.1 of the reads were retried, and 60 more
    And a larger share of the failed attempts was retried on "urgent" than on "usual"
    And a larger share of the failed attempts was retried on "usual" than on "background"

  Scenario: Nearly all reads are served in time while the slots can serve all that arrive
    Guards against refusals by wrong estimates.
    When 90 reads per second arrive on all routes for 4 s
    Then at least 0.97 of the reads on "urgent" were served within 0.25 s
    And at least 0.97 of the reads on "usual" were served within 0.25 s
    And at least 0.97 of the reads on "background" were served within 0.25 s

  Scenario: A home VM knows how long a relayed statement has waited already
    Guards against a home VM that gives a statement more time than its caller has.
    When a read on "urgent" that arrived 0.1 s ago is relayed
    Then the home VM counts its objective from the arrival at the entry VM

  Scenario: A statement of a VM that does not send its age is taken as new
    When a read on "urgent" is relayed by a VM of the previous build
    Then the home VM counts its objective from the receipt

  Scenario: A read that would wait too long at every home VM is refused at its entry VM
    Guards against relays to homes that must refuse, which take their processor time from others.
    Given every home reports to "h1" that priority 0 waits for 0.01 s and the others for 0.5 s
    When a read on "usual" arrives at "h1", of a workspace with another home
    Then it was refused as not run within 0.01 s, and was not relayed

  Scenario: A more urgent read is relayed although others would wait too long
    Given every home reports to "h1" that priority 0 waits for 0.01 s and the others for 0.5 s
    When a read on "urgent" arrives at "h1", of a workspace with another home
    Then it was served

  Scenario: A read is relayed to an endpoint with free slots while all others are overloaded
    Guards against a refusal while an endpoint that may serve the read has free slots.
    Given every home reports to "h1" that priority 0 waits for 0.01 s and the others for 0.5 s
    And the homes of "b3" report to "h1" that none waits
    When a read on "usual" arrives at "h1", of a workspace with another home
    Then it was served by "b3"

  Scenario: A read is relayed if the home VMs have reported nothing for 2 s
    Guards against refusals because of what a failed home reported before.
    Given every home reports to "h1" that priority 0 waits for 0.01 s and the others for 5 s
    When 2.1 s pass without a report
    And a read on "usual" arrives at "h1", of a workspace with another home
    Then it was served

  Scenario: A home VM reports how long a statement of each priority would wait
    When 300 reads per second arrive on all routes for 1 s
    Then the homes reported longer waits for priority 2 than for priority 0

  Scenario: The metrics say who waited and who was refused, by priority, workspace and zone
    When 300 reads per second arrive on all routes for 1 s
    Then the metrics of the VMs count all refused reads, most of them of priority 2
    And the metrics of the VMs contain the waits of every priority

  Scenario: The order of priority holds after the busiest home VM has stopped answering
    Guards against a failed home whose reports or queue keep urgent reads from other homes.
    When 300 reads per second arrive on all routes for 2 s
    And the VM that holds the most connections stops answering
    And 300 reads per second arrive on all routes for 3 s
    Then at least 0.6 of the reads on "urgent" sent after 3 s were served within 0.25 s
    And a larger share of the reads was served within 0.25 s on "urgent" than on "background"
    And every read was answered, and no invariant was violated

  Scenario: The order of priority holds while no allocator answers
    When no allocator of the VMs answers
    And 300 reads per second arrive on all routes for 3 s
    Then at least 0.6 of the reads on "urgent" sent after 1 s were served within 0.25 s
    And a larger share of the reads was served within 0.25 s on "urgent" than on "background"

  Scenario: The order of priority holds on the larger side of a partition
    "h1" and "h4", the homes of "b1" in z1, are cut off from the control VM and from the others.
    When 300 reads per second arrive on all routes for 1 s
    And the VMs "h1" and "h4" are cut off
    And 200 reads per second arrive on all routes for 3 s
    Then at least 0.6 of the reads on "urgent" sent after 2 s were served within 0.25 s
    And a larger share of the reads was served within 0.25 s on "urgent" than on "background"
    And every read was answered, and no invariant was violated

  Scenario: The order of priority holds while the control leader does not answer
    The rates of workspaces are granted by backup allocators from 0.8 s after the leader's loss on.
    When 300 reads per second arrive on all routes for 1 s
    And the control leader stops answering
    And 300 reads per second arrive on all routes for 3 s
    Then at least 0.7 of the reads on "urgent" sent after 3.5 s were served within 0.25 s
    And a larger share of the reads was served within 0.25 s on "urgent" than on "background"

  Scenario: The order of priority holds when an endpoint becomes slow
    When 90 reads per second arrive on all routes for 2 s
    And the endpoint "b2" needs 0.15 s for each statement
    And 150 reads per second arrive on all routes for 4 s
    Then at least 0.8 of the reads on "urgent" sent after 3 s were served within 0.25 s
    And a larger share of the reads was served within 0.25 s on "urgent" than on "background"

  Scenario: No read runs with a key that was withdrawn while many reads waited
    Guards against requests that are taken from a queue without a check of their key.
    When 300 reads per second arrive on all routes for 3 s, and the key "k0" is withdrawn after 1 s
    Then no read with the key "k0" sent after 1.3 s ran, and others did

  Scenario: No workspace gets more than its rate, also if its reads are the most urgent ones
    When the rate and burst of each workspace are 10
    And 300 reads per second arrive on "urgent" for 3 s, and 30 on "background"
    Then at most 60 reads of each workspace ran

  Scenario: The order of priority holds during a promotion, of which there is one
    When 200 reads per second arrive on all routes for 1 s
    And the primary of the VMs crashes
    And 200 reads per second arrive on all routes for 3 s
    Then at least 0.5 of the reads on "urgent" sent after 2 s were served within 0.25 s
    And a larger share of the reads was served within 0.25 s on "urgent" than on "background"
    And one endpoint was promoted

  Scenario: The order of priority holds while a home VM stops as planned
    When 300 reads per second arrive on all routes for 1 s
    And "h1" leaves the list of VMs that serve callers
    And 300 reads per second arrive on all routes for 2 s
    Then at least 0.6 of the reads on "urgent" sent after 2 s were served within 0.25 s
    And every read was answered, and no invariant was violated
