@simulation
Feature: A session reads its own writes through any VM
  The simulated fleet has the VMs v1 to v3, which vote, s1, which is a standby, and o1 and o2, which
  have no disk; all serve callers. The group g has three endpoints: a primary and two replicas.
  A read with the session token of a write sees that write, also through another VM. A read without
  a token may miss the latest writes. Endpoints answer every read with all the values that they
  have; "all" stands for that.

  Background:
    Given a running fleet

  Scenario: A read through another VM sees the session's write
    When "w" is a write of "card-1" sent to o1
    And 1 s pass
    And "r" is a read with the session token of "w" sent to o2
    And 1 s pass
    Then the result of "w" is "run"
    And "r" read "card-1"
    And no invariant was violated

  Scenario: A read through another VM sees the session's write after the primary was replaced
    When "w" is a write of "card-1" sent to o1
    And 1 s pass
    And a network partition isolates the primary
    And 3 s pass
    And "r" is a read with the session token of "w" sent to o2
    And 2 s pass
    Then "r" read "card-1"
    And no invariant was violated

  Scenario: A read without a session token is served by a replica
    When "r" is a read of "all" sent to o1
    And 1 s pass
    Then the result of "r" is "run"
    And "r" was answered by a replica
