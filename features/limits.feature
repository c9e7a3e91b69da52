@world
Feature: Rate and burst over the whole fleet
  Background:
    Given a running fleet

  Scenario: All VMs together stay within rate and burst
    When a workspace "small" with rate 20 and burst 10 exists
    And every VM sends 30 reads of "small" at once, 5 times, 0.5 s apart
    Then at most rate and burst of "small" were permitted in any window
    And at least 20 reads of "small" ran

  Scenario: One VM may use a whole workspace's rate
    When a workspace "small" with rate 20 and burst 30 exists
    And 4 s pass
    And o1 sends 15 reads of "small" one every 0.06 s
    Then none of them was refused

  Scenario: Requests that arrive while an ask for tokens is on its way are served
    When o1 sends 20 reads at 0 and 10 more 0.5 ms later
    And 1 s pass
    Then none of them was refused

  Scenario: The loss of an allocator refuses nothing
    When the allocator of one zone is killed
    And o1 sends 20 reads of "w" one every 0.1 s
    Then none of them was refused

  Scenario: A restarted allocator starts with an empty bucket
    When a workspace "small" with rate 1 and burst 20 exists
    And 25 s pass
    And every VM sends 30 reads of "small" at once, 1 times, 0 s apart
    And all VMs are killed and start again
    And 6 s pass
    And every VM sends 30 reads of "small" at once, 1 times, 0 s apart
    Then at most rate and burst of "small" were permitted in any window

  Scenario: Tokens that come too late are not kept for later
    When a workspace "small" with rate 400 and burst 100 exists
    And 3 s pass
    And each VM asks for 60 tokens of "small" that come too late for their requests
    And every VM sends 100 reads of "small" at once, 1 times, 0 s apart
    Then at most rate and burst of "small" were permitted in any window

  Scenario: VMs that reach no allocator go on at the rate that they used
    Given rates may be exceeded by 0.1 and 20 requests in 5 s, and 2 VMs serve callers
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 20 and o2 sends 2 reads of "small" a second for 12 s
    And the VMs that serve callers reach no allocator
    And o1 sends 20 and o2 sends 2 reads of "small" a second for 1.8 s
    Then at least 0.75 of the last reads ran

  Scenario: VMs that reach no allocator pool their zone's part of the rate
    Given rates may be exceeded by 0.1 and 20 requests in 5 s, and 2 VMs serve callers
    And the VMs that serve callers are of one zone and know each other
    When a workspace "small" with rate 40 and burst 40 exists
    And the VMs that serve callers reach no allocator
    And 0.6 s pass
    And o1 sends 9 and o2 sends 1 reads of "small" a second for 1.2 s
    Then at least 0.8 of the last reads ran

  Scenario: A VM that reaches the allocators does not stand in for them
    Given rates may be exceeded by 0.1 and 20 requests in 5 s, and 2 VMs serve callers
    And the VMs that serve callers are of one zone and know each other
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 9 and o2 sends 1 reads of "small" a second for 1.2 s
    Then o1 grants o2 nothing of "small" in place of the allocators

  Scenario: The rate is kept while VMs pool their zone's part, and afterwards
    Given rates may be exceeded by 0.02 and 4 requests in 5 s, and 2 VMs serve callers
    And the VMs that serve callers are of one zone and know each other
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 200 and o2 sends 200 reads of "small" a second for 12 s
    And the VMs that serve callers reach no allocator
    And o1 sends 200 and o2 sends 200 reads of "small" a second for 1.8 s
    And all network partitions heal
    And o1 sends 200 and o2 sends 200 reads of "small" a second for 6 s
    Then no window of 5 s had more of "small" than may be exceeded

  Scenario: The rate is kept while no allocator is reached, and afterwards
    Given rates may be exceeded by 0.1 and 20 requests in 5 s, and 2 VMs serve callers
    When a workspace "small" with rate 40 and burst 40 exists
    And o1 sends 200 and o2 sends 200 reads of "small" a second for 12 s
    And the VMs that serve callers reach no allocator
    And o1 sends 200 and o2 sends 200 reads of "small" a second for 1.8 s
    And all network partitions heal
    And o1 sends 200 and o2 sends 200 reads of "small" a second for 6 s
    Then no window of 5 s had more of "small" than may be exceeded

  Scenario: A workspace that is within its rate is served though its parts are small
    Given rates may be exceeded by 0.1 and 20 requests in 5 s, and 2 VMs serve callers
    When a workspace "small" with rate 5 and burst 5 exists
    And 4 s pass
    And o1 sends 2 and o2 sends 2 reads of "small" a second for 10 s
    Then at least 1 of the last reads ran

  Scenario: Two allocators of one zone never grant at the same time
    When a workspace "small" with rate 300 and burst 100 exists
    And 3 s pass
    And an allocator and a VM of another zone are cut off from the others
    And every VM sends 40 reads of "small" at once, 40 times, 0.1 s apart
    Then at most rate and burst of "small" were permitted in any window
