@simulation
Feature: A session reads its own writes on every VM
  Background:
    Given a running fleet

  Scenario: A read through another VM sees the session's write although replicas may lag
    When "w" is a write of "card-1" sent to o1
    And 1 s pass
    And "r" is a read with the session token of "w" sent to o2
    And 1 s pass
    Then the result of "w" is "run"
    And "r" read "card-1"
    And no invariant was violated

  Scenario: A read sees the session's write after its primary was replaced
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
