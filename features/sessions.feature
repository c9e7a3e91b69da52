@world
Feature: A session reads its own writes on every VM
  Background:
    Given a running fleet

  Scenario: A read on another VM sees the session's write
    When "w" is a write of "card-1" sent to o1
    And 1 s pass
    And "r" is a read in the session of "w" sent to o2
    And 1 s pass
    Then the result of "w" is "run"
    And "r" read "card-1"
    And no rule was broken

  Scenario: The session's write is seen after the primary was replaced
    When "w" is a write of "card-1" sent to o1
    And 1 s pass
    And the primary is cut off from everyone
    And 3 s pass
    And "r" is a read in the session of "w" sent to o2
    And 2 s pass
    Then "r" read "card-1"
    And no rule was broken

  Scenario: A read without a session is served by a replica
    When "r" is a read of "all" sent to o1
    And 1 s pass
    Then the result of "r" is "run"
    And "r" was answered by a replica
