@simulation
Feature: The whole fleet together keeps to each workspace's rate and burst
  The simulated fleet has the VMs v1 to v3, which vote, s1, which is a standby, and o1 and o2, which
  have no disk; all serve callers. The group g has three endpoints: a primary and two replicas.

  Background:
    Given a running fleet

  Scenario: A flood of requests through all VMs is limited to the workspace's rate and burst
    When a workspace "small" with rate 20 and burst 10 exists
    And every VM sends 30 reads of "small" at once, 5 times, 0.5 s apart
    Then in no window were more requests of "small" permitted than its rate and burst allow
    And at least 20 reads of "small" ran

  Scenario: A workspace whose requests all arrive at one VM gets its whole rate
    When a workspace "small" with rate 20 and burst 30 exists
    And 4 s pass
    And o1 sends 15 reads of "small", one every 0.06 s
    Then none of them was refused

  Scenario: Requests that arrive while a token request is in flight are served
    When o1 sends 20 reads and 10 more 0.5 ms later
    And 1 s pass
    Then none of them was refused

  Scenario: No request is refused when one zone's allocator crashes
    When the allocator of one zone is killed
    And o1 sends 20 reads of "w", one every 0.1 s
    Then none of them was refused

  Scenario: Allocators restart with empty buckets, so a restart does not grant the burst again
    When a workspace "small" with rate 1 and burst 20 exists
    And 25 s pass
    And every VM sends 30 reads of "small" at once, 1 times, 0 s apart
    And all VMs are killed and start again
    And 6 s pass
    And every VM sends 30 reads of "small" at once, 1 times, 0 s apart
    Then in no window were more requests of "small" permitted than its rate and burst allow

  Scenario: Callers that return after a restart of all VMs are served at once
    Guards against a second wave of refusals: all callers return together while the buckets are empty.
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    When a workspace "small" with rate 20 and burst 20 exists
    And 4 s pass
    And all VMs are killed and start again
    And 1 s pass
    And o1 sends 40 and o2 sends 40 reads of "small" per second for 0.1 s
    Then the share of the last reads that ran is at least 1

  Scenario: Callers that return after a restart of all VMs wait for tokens instead of being refused
    Guards against callers that use up their tries while the buckets fill.
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    When a workspace "small" with rate 20 and burst 20 exists
    And 4 s pass
    And all VMs are killed and start again
    And 0.9 s pass
    And o1 sends 160 and o2 sends 160 reads of "small" per second for 0.1 s
    And 0.5 s pass
    Then the share of the last reads that ran is at least 1

  Scenario: The rate limit holds while all VMs are killed and start again several times
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 6 s
    And all VMs are killed and start again
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 1.5 s
    And all VMs are killed and start again
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 1.5 s
    And all VMs are killed and start again
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 6 s
    Then in no window of 5 s were rate and burst of "small" exceeded by more than this tolerance

  Scenario: Tokens that arrive too late for their requests are not saved for a later burst
    When a workspace "small" with rate 400 and burst 100 exists
    And 3 s pass
    And each VM requests 60 tokens of "small" that arrive too late for their requests
    And every VM sends 100 reads of "small" at once, 1 times, 0 s apart
    Then in no window were more requests of "small" permitted than its rate and burst allow

  Scenario: VMs that reach no allocator continue at the rate that each of them used before
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 20 and o2 sends 2 reads of "small" per second for 12 s
    And the VMs that serve callers reach no allocator
    And o1 sends 20 and o2 sends 2 reads of "small" per second for 1.8 s
    Then the share of the last reads that ran is at least 0.75

  Scenario: VMs of one zone that reach no allocator share its rate through a backup allocator
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    And the VMs that serve callers are in one zone and know each other
    When a workspace "small" with rate 40 and burst 40 exists
    And the VMs that serve callers reach no allocator
    And 0.6 s pass
    And o1 sends 9 and o2 sends 1 reads of "small" per second for 1.2 s
    Then the share of the last reads that ran is at least 0.8

  Scenario: A VM that reaches the allocators grants nothing as a backup allocator
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    And the VMs that serve callers are in one zone and know each other
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 9 and o2 sends 1 reads of "small" per second for 1.2 s
    Then o1 grants o2 no tokens of "small" as a backup allocator

  Scenario: The rate limit holds while backup allocators grant, and after the allocators are back
    Given rate and burst may be exceeded by a fraction of 0.02 plus 4 requests in 5 s, and 2 VMs serve callers
    And the VMs that serve callers are in one zone and know each other
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 12 s
    And the VMs that serve callers reach no allocator
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 1.8 s
    And all network partitions heal
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 6 s
    Then in no window of 5 s were rate and burst of "small" exceeded by more than this tolerance

  Scenario: The rate limit holds while no allocator is reachable, and after they are back
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 12 s
    And the VMs that serve callers reach no allocator
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 1.8 s
    And all network partitions heal
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 6 s
    Then in no window of 5 s were rate and burst of "small" exceeded by more than this tolerance

  Scenario: A workspace within its rate is served although each zone's share of it is small
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    When a workspace "small" with rate 5 and burst 5 exists
    And 4 s pass
    And o1 sends 2 and o2 sends 2 reads of "small" per second for 10 s
    Then the share of the last reads that ran is at least 1

  Scenario: An allocator replaced during a partition does not grant together with its successor
    When a workspace "small" with rate 300 and burst 100 exists
    And 3 s pass
    And a network partition isolates an allocator and a VM of another zone from all other VMs
    And every VM sends 40 reads of "small" at once, 40 times, 0.1 s apart
    Then in no window were more requests of "small" permitted than its rate and burst allow

  Scenario: An allocator that was just named and restarts does not grant together with its predecessor
    Guards against two allocators of one zone that grant at the same time, if the second one starts again.
    When a workspace "small" with rate 300 and burst 100 exists
    And 3 s pass
    And a network partition isolates the allocator of zone "z2" until another one is named
    And the new allocator of zone "z2" is killed and starts again
    Then the two allocators of zone "z2" do not grant tokens of "small" at the same time

  Scenario: A workspace that stays above its rate gets what rate and burst permit in each window
    Guards against refusals inside the limit: a bucket that fills at the rate alone gives a workspace
    that asks for more its rate, though rate and burst permit a fifth more in 5 s.
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    And 0.6 of every burst is granted evenly over the window
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 100 and o2 sends 100 reads of "small" per second for 12 s
    Then at least 45 reads of "small" ran per second in the last 6 s
    And in no window of 5 s were rate and burst of "small" exceeded by more than this tolerance

  Scenario: The rate limit holds over restarts while bursts are granted evenly
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    And 0.6 of every burst is granted evenly over the window
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 6 s
    And all VMs are killed and start again
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 1.5 s
    And all VMs are killed and start again
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 1.5 s
    And all VMs are killed and start again
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 6 s
    Then in no window of 5 s were rate and burst of "small" exceeded by more than this tolerance

  Scenario: The rate limit holds over backup allocators while bursts are granted evenly
    Given rate and burst may be exceeded by a fraction of 0.02 plus 4 requests in 5 s, and 2 VMs serve callers
    And the VMs that serve callers are in one zone and know each other
    And 0.6 of every burst is granted evenly over the window
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 12 s
    And the VMs that serve callers reach no allocator
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 1.8 s
    And all network partitions heal
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 6 s
    Then in no window of 5 s were rate and burst of "small" exceeded by more than this tolerance

  Scenario: The rate limit holds without an allocator while bursts are granted evenly
    Given rate and burst may be exceeded by a fraction of 0.1 plus 20 requests in 5 s, and 2 VMs serve callers
    And 0.6 of every burst is granted evenly over the window
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 12 s
    And the VMs that serve callers reach no allocator
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 1.8 s
    And all network partitions heal
    And o1 sends 200 and o2 sends 200 reads of "small" per second for 6 s
    Then in no window of 5 s were rate and burst of "small" exceeded by more than this tolerance
