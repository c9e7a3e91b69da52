@simulation
Feature: Writes are acknowledged after replication to a majority and run at most once
  The simulated fleet has the VMs v1 to v3, which vote, s1, which is a standby, and o1 and o2, which
  have no disk; all serve callers. The group g has three endpoints: a primary and two replicas.
  Endpoints answer every read with all the values that they have; "all" stands for that.

  Background:
    Given a running fleet

  Scenario: A write that no replica has confirmed is not acknowledged
    When a network partition isolates the primary from the other endpoints
    And "w" is a write of "card-1" sent to o1
    And 1 s pass
    Then the result of "w" is "waiting"

  Scenario: A replaced primary does not acknowledge its unreplicated writes and drops them on rejoining
    When a network partition isolates the primary from the other endpoints
    And "w" is a write of "card-1" sent to o1
    And a network partition isolates the old primary
    And 3 s pass
    Then the result of "w" is "unknown: outcome_unknown"
    When all network partitions heal
    And 2 s pass
    Then the old primary is a replica with the same log as the new one
    And the primary stores the value "card-1" 0 time(s)
    And no invariant was violated

  Scenario: A write retried with its id through another VM after a lost reply is not applied twice
    When every reply from the endpoints is lost
    And "w1" is a write of "card-1" with id "r1" sent to o1
    And 3.5 s pass
    Then the result of "w1" is "unknown: outcome_unknown"
    When replies from the endpoints arrive again
    And "w2" is a write of "card-1" with id "r1" sent to o2
    And 1 s pass
    Then the result of "w2" is "run"
    And the primary stores the value "card-1" 1 time(s)

  Scenario: A write without an id whose reply was lost has an unknown outcome and is not retried
    When every reply from the endpoints is lost
    And "w" is a write of "card-1" sent to o1
    And 3 s pass
    Then the result of "w" is "unknown: outcome_unknown"
    And the request "w" was sent 1 time(s)

  Scenario: A write is not sent to the primary while a majority of the endpoints is unreachable
    When a network partition isolates each replica
    And "warm" is a read of "all" sent to o1
    And 4 s pass
    And "w" is a write of "card-1" sent to o1
    And 4 s pass
    Then the result of "w" is "not run: deadline_passed"
    And the request "w" was sent 0 time(s)
    And the primary stores the value "card-1" 0 time(s)

  Scenario: A commit through the VM that holds the transaction applies all of its writes
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "s1" is a write of "card-1" inside "b" sent to o1
    And 0.2 s pass
    And "s2" is a write of "card-2" inside "b" sent to o1
    And 0.2 s pass
    And "c" is a commit of "" inside "b" sent to o1
    And 0.5 s pass
    Then the result of "c" is "run"
    And the primary stores the value "card-1" 1 time(s)
    And the primary stores the value "card-2" 1 time(s)

  Scenario: An open transaction is rolled back when its VM crashes
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "s1" is a write of "card-1" inside "b" sent to o1
    And 0.2 s pass
    And o1 is killed
    And 1 s pass
    Then the primary stores the value "card-1" 0 time(s)

  Scenario: The replica with the longest log is promoted, so no acknowledged write is lost
    When a network partition isolates one replica from the primary
    And "w" is a write of "card-1" sent to o1
    And 0.2 s pass
    Then the result of "w" is "run"
    When a network partition isolates the primary
    And 3 s pass
    Then the primary stores the value "card-1" 1 time(s)

  Scenario: A confirmation that arrives after a newer term was granted does not acknowledge a write
    When a network partition isolates the primary from the other endpoints
    And "w" is a write of "card-1" sent to o1
    And 0.1 s pass
    And the control log grants the group a higher term
    And 1 s pass
    And a replica's confirmation of "w" arrives late at o1
    And 0.1 s pass
    Then the result of "w" is "unknown: outcome_unknown"
    And no invariant was violated

  Scenario: A commit whose VM crashed gets its outcome by its id through another VM
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
    And the primary stores the value "card-1" 1 time(s)

  Scenario: A commit reported as not run stays so when it is retried through the transaction's VM
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
    And the primary stores the value "card-1" 0 time(s)
    And no invariant was violated

  Scenario: A commit without an id through a VM without the transaction has an unknown outcome
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "c" is a commit of "" inside "b" sent to o2
    And 0.2 s pass
    Then the result of "c" is "unknown: transaction_unknown"
