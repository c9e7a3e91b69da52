@homes
Feature: Work is spread evenly over endpoints, and kept from slow and failing ones
  Six simulated VMs are in the zones z1 to z3, two each, and the endpoints b1 (the primary), b2 and b3
  with 3 slots each in z1, z2 and z3. A statement takes 0.005 s. The model of the load has many VMs,
  three endpoints and no zones; its load information is refreshed at the interval given. One session of
  five reads what only the primary may serve.

  Scenario Outline: Many VMs with old load information do not choose the same endpoint
    Guards against a herd: VMs that all take the endpoint that was last known to be the cheapest
    overload it while the others idle.
    Given <vms> VMs in the model, with load information that is <age> s old
    When they choose among three endpoints with 4 slots under 0.9 of their capacity
    Then at most 45 statements wait at an endpoint at any time
    And the statements at the endpoints differ by at most 6 on average

    Examples:
      | vms | age |
      | 30  | 0.1 |
      | 143 | 0.5 |
      | 300 | 2   |

  Scenario: An old load report counts less than a new one
    Guards against acting on a queue that has drained since: the difference from the mean of the
    group decays with the age of the report.
    Given a VM whose home VMs report 20 and 0 statements at two endpoints
    When the reports are 0 s old
    Then the first endpoint is expected to have 20 to 20 statements
    When the reports are 0.5 s old
    Then the first endpoint is expected to have 13 to 14.5 statements
    When the reports are 1.9 s old
    Then the first endpoint is expected to have 10 to 10.5 statements
    When the reports are 2.1 s old
    Then nothing is known of the first endpoint's wait

  Scenario: The older the load information, the fewer requests are moved by it
    Guards against moving more work than the difference of two queues: all VMs move some of theirs
    before new information shows what that did.
    Given a VM whose home VMs report 20 and 0 statements at two endpoints
    When the reports are 0.1 s old
    Then 0.35 to 0.48 of the requests are moved from the first endpoint to the second
    When the reports are 1 s old
    Then 0.05 to 0.12 of the requests are moved from the first endpoint to the second

  Scenario: Own statements since the last load report are added to it
    Guards against a VM that sends all of its statements to one endpoint between two reports.
    Given a VM whose home VMs report 2 and 2 statements at two endpoints
    When the reports are 0.1 s old
    And the VM has relayed 7 statements to the first endpoint since the report
    Then the first endpoint is expected to have 9 to 9 statements

  Scenario: A slow endpoint loses its work within a second and gets it back after it recovers
    Guards against reads that queue at an endpoint that has become ten times as slow.
    Given 6 VMs that report loads
    When callers send 300 reads per second for 3 s
    Then b2 got at least 0.2 of the statements of the last 2 s
    When statements take 0.05 s at b2
    And callers send 300 reads per second for 1 s
    And callers send 300 reads per second for 2 s
    Then b2 got at most 0.05 of the statements of the last 2 s
    And b2 is ejected at every VM
    And at least 0.99 of these reads were served
    And ejections were logged with the age of the load information
    And the metrics of h1 show 1 ejected endpoint
    When b2 runs statements again
    And callers send 300 reads per second for 8 s
    Then b2 got at least 0.2 of the statements of the last 2 s
    And b2 was readmitted in at least 3 steps

  Scenario: An endpoint that fails fast does not attract load
    Guards against an endpoint whose failures are fast and leave its slots free, so that it looks
    like the least loaded one.
    Given 6 VMs that report loads
    When callers send 300 reads per second for 2 s
    And b3 fails each statement at once
    And callers send 300 reads per second for 1 s
    And callers send 300 reads per second for 2 s
    Then b3 got at most 0.05 of the statements of the last 2 s
    And b3 is ejected at every VM
    And at least 0.99 of these reads were served
    When b3 runs statements again
    And callers send 300 reads per second for 8 s
    Then b3 got at least 0.2 of the statements of the last 2 s

  Scenario: A VM learns of an ejected endpoint before it sends anything to it
    Guards against each VM losing a request to find out: the state comes with replies of home VMs.
    Given 6 VMs that report loads
    When the VMs of z1 have ejected b3
    And h2 reads at the primary, whose home VMs are in z1
    Then b3 is ejected at h2, which has sent it nothing

  Scenario: The last endpoints of a group are not ejected
    Guards against ejecting all endpoints when all of them fail: at most half of a group is.
    Given 6 VMs that report loads
    When callers send 300 reads per second for 2 s
    And b2 fails each statement at once
    And b3 fails each statement at once
    And callers send 300 reads per second for 3 s
    Then at most 1 endpoint of the group is ejected at any VM
    And at least 0.9 of these reads were served

  Scenario: Healthy endpoints are not ejected under load
    Guards against taking the queue of a busy endpoint for slowness.
    Given 6 VMs that report loads
    When callers of z1 send 800 reads per second for 3 s
    Then no endpoint is ejected

  Scenario: Reads of a busy zone use free slots of the others
    Guards against a queue at one zone's endpoint while those of other zones are idle.
    Given 6 VMs that report loads
    When callers of z2 send 800 reads per second for 3 s
    Then b2 got at most 0.8 of the statements of the last 1 s
    And each VM logged at most 4 moves, with the age of the load information
    And at least 0.95 of these reads were served

  Scenario: The callers of a lost zone use the endpoints of both other zones
    Guards against the callers of a lost zone overloading the next one: they now all come to the VMs
    of z1, whose endpoint b1 alone cannot serve them.
    Given 6 VMs that report loads
    When callers send 700 reads per second for 2 s
    And the zone z2 is lost
    And callers of z1 send 900 reads per second for 1 s
    And callers of z1 send 900 reads per second for 2 s
    Then b1 got at most 0.75 of the statements of the last 2 s
    And b3 got at least 0.25 of the statements of the last 2 s
    And at least 0.95 of these reads were served

  Scenario: A lost endpoint's reads are spread over the other two
    Guards against the callers of a lost zone overloading the next one.
    Given 6 VMs that report loads
    When callers send 900 reads per second for 2 s
    And b2 is lost
    And callers send 900 reads per second for 3 s
    Then b1 got at most 0.65 of the statements of the last 2 s
    And b3 got at most 0.65 of the statements of the last 2 s
    And at least 0.95 of these reads were served

  Scenario: Load reports cost no probes and no statements
    Guards against load on endpoints for finding out their load.
    Given 6 VMs that report loads
    When callers send 300 reads per second for 3 s
    Then 0 endpoint probes were sent by the VMs
    And each read was sent once to an endpoint

  Scenario: Nothing is kept of a VM that has left
    Guards against memory that grows with every VM that is replaced.
    Given 12 VMs that report loads
    When callers send 300 reads per second for 2 s
    Then no VM keeps reports or statistics of a home VM that has left the list

  Scenario: An ejected endpoint gets single statements as probes and no commands
    Guards against checks by many VMs that keep a failing endpoint busy: the fleet sends it about two
    statements a second.
    Given 6 VMs that report loads
    When callers send 300 reads per second for 2 s
    And b3 fails each statement at once
    And callers send 300 reads per second for 1 s
    And callers send 300 reads per second for 4 s
    Then b3 got at most 16 statements in the last 4 s
    And 0 endpoint probes were sent by the VMs

  Scenario: A home VM that delays relayed statements is used less until it is fast again
    Guards against a VM that is short of processor time and holds up the statements of its
    workspaces, although its endpoint is fast.
    Given 12 VMs that report loads
    When callers send 300 reads per second for 2 s
    And the home VM of b3 for w1 delays relayed statements by 0.2 s
    And callers send 300 reads per second for 2 s
    Then that home VM is ejected at some VM, and no VM ejects all home VMs of an endpoint
    When the home VM of b3 for w1 delays relayed statements by 0 s
    And callers send 300 reads per second for 4 s
    Then no home VM is ejected

  Scenario: Without priorities and with equal VMs, nothing is reported or compared
    Guards against extra bytes and other decisions in deployments that do not ask for balancing.
    Given 6 VMs that do not report loads
    When callers send 300 reads per second for 2 s
    Then no VM holds a load report, an ejection or statistics
    And no message between VMs had the keys "load" or "outliers"

  Scenario: Larger VMs are home VMs more often and take a larger part of an endpoint's work
    Guards against overloading the smaller VMs of a fleet of uneven ones.
    Given 12 VMs of 1 and 2 cores in turn
    Then the VMs of 2 cores are home VMs 1.8 to 2.2 times as often as the others
    And the parts of the home VMs of b1 add up to 1, in proportion to their sizes
    And every VM reports loads
