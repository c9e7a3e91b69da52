@world
Feature: Writes are acknowledged by a majority and run at most once
  Background:
    Given a running fleet

  Scenario: A write that only its primary has is not acknowledged
    When the primary is cut off from the other endpoints
    And "w" is a write of "card-1" sent to o1
    And 1 s pass
    Then the result of "w" is "waiting"

  Scenario: A primary that was replaced acknowledges nothing, and its tail is dropped
    When the primary is cut off from the other endpoints
    And "w" is a write of "card-1" sent to o1
    And a network partition isolates the old primary
    And 3 s pass
    Then the result of "w" is "unknown: outcome_unknown"
    When all network partitions heal
    And 2 s pass
    Then the old primary is a replica with the same log as the new one
    And the value "card-1" is held by the primary 0 time(s)
    And no rule was broken

  Scenario: A resend with the same id through another VM finds the first outcome
    When every reply from the endpoints is lost
    And "w1" is a write of "card-1" with id "r1" sent to o1
    And 3.5 s pass
    Then the result of "w1" is "unknown: outcome_unknown"
    When replies from the endpoints arrive again
    And "w2" is a write of "card-1" with id "r1" sent to o2
    And 1 s pass
    Then the result of "w2" is "run"
    And the value "card-1" is held by the primary 1 time(s)

  Scenario: Without an id a lost answer is unknown and nothing is sent again
    When every reply from the endpoints is lost
    And "w" is a write of "card-1" sent to o1
    And 3 s pass
    Then the result of "w" is "unknown: outcome_unknown"
    And the request "w" was sent 1 time(s)

  Scenario: With fewer than a majority reachable nothing is sent
    When both replicas are cut off from everyone
    And "warm" is a read of "all" sent to o1
    And 4 s pass
    And "w" is a write of "card-1" sent to o1
    And 4 s pass
    Then the result of "w" is "not run: deadline_passed"
    And the request "w" was sent 0 time(s)
    And the value "card-1" is held by the primary 0 time(s)

  Scenario: A commit through the VM that holds the transaction is whole
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "s1" is a write of "card-1" inside "b" sent to o1
    And 0.2 s pass
    And "s2" is a write of "card-2" inside "b" sent to o1
    And 0.2 s pass
    And "c" is a commit of "" inside "b" sent to o1
    And 0.5 s pass
    Then the result of "c" is "run"
    And the value "card-1" is held by the primary 1 time(s)
    And the value "card-2" is held by the primary 1 time(s)

  Scenario: A transaction whose VM dies leaves nothing behind
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "s1" is a write of "card-1" inside "b" sent to o1
    And 0.2 s pass
    And o1 is killed
    And 1 s pass
    Then the value "card-1" is held by the primary 0 time(s)

  Scenario: The most advanced replica is promoted
    When one replica is cut off from the primary
    And "w" is a write of "card-1" sent to o1
    And 0.2 s pass
    Then the result of "w" is "run"
    When the primary is cut off from everyone
    And 3 s pass
    Then the value "card-1" is held by the primary 1 time(s)

  Scenario: A confirmation that comes after a newer term acknowledges nothing
    When the primary is cut off from the other endpoints
    And "w" is a write of "card-1" sent to o1
    And 0.1 s pass
    And the control log grants the group a higher term
    And 1 s pass
    And a replica's confirmation of "w" arrives late at o1
    And 0.1 s pass
    Then the result of "w" is "unknown: outcome_unknown"
    And no rule was broken

  Scenario: A commit whose VM died is settled by its id through another VM
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "s1" is a write of "card-1" inside "b" sent to o1
    And 0.2 s pass
    And every reply from the endpoints is lost
    And "c1" is a commit of "" with id "r1" inside "b" sent to o1
    And 0.002 s pass
    And o1 is killed
    And replies from the endpoints arrive again
    And "c2" is a commit of "" with id "r1" inside "b" sent to o2
    And 1 s pass
    Then the result of "c2" is "run"
    And the value "card-1" is held by the primary 1 time(s)

  Scenario: A commit that never reached its endpoint is settled for good
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "s1" is a write of "card-1" inside "b" sent to o1
    And 0.2 s pass
    And "c1" is a commit of "" with id "r1" inside "b" sent to o2
    And 1 s pass
    And "c2" is a commit of "" with id "r1" inside "b" sent to o1
    And 1 s pass
    Then the result of "c1" is "not run: transaction_unknown"
    And the result of "c2" is "not run: transaction_unknown"
    And the value "card-1" is held by the primary 0 time(s)
    And no rule was broken

  Scenario: A commit without an id whose transaction is gone is unknown
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "c" is a commit of "" inside "b" sent to o2
    And 0.2 s pass
    Then the result of "c" is "unknown: transaction_unknown"
