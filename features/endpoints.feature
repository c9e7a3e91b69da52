@simulation
Feature: Endpoints that fail, lag or leave
  The simulated fleet has the VMs v1 to v3, which vote, s1, which is a standby, and o1 and o2, which
  have no disk; all serve callers. The group g has three endpoints: a primary and two replicas.
  Endpoints answer every read with all the values that they have; "all" stands for that.

  Background:
    Given a running fleet

  Scenario: A read is served although both replicas are unreachable
    When a network partition isolates each replica
    And "r" is a read of "all" sent to o1
    And 3 s pass
    Then the result of "r" is "run"

  Scenario: A leaving endpoint gets no new requests 3 s after its announcement
    When one replica announces that it leaves
    And 3 s pass
    And o1 sends 20 reads of "w", one every 0.05 s
    Then none of them was sent to the leaving endpoint
    And none of them was refused

  Scenario: A leaving primary is replaced by an endpoint that is not leaving
    When the primary announces that it leaves
    And 3 s pass
    Then another endpoint is primary
    And no invariant was violated

  Scenario: A read returns no data older than its maximum age although the replicas lag
    When a network partition isolates the replicas from the primary and 5 s pass
    And "r" is a read with a maximum age of 1 s sent to o1
    And 3 s pass
    Then the result of "r" is "run"
    And the data of "r" is at most 1 s old

  Scenario: No endpoint is promoted while a majority of the group's endpoints is unreachable
    When a network partition isolates the primary
    And a network partition isolates one replica
    And 5 s pass
    Then no endpoint but the old primary is primary

  Scenario: The loss of a primary uses up only one term although the control log is slow
    When every control log message takes 0.06 s longer
    And a network partition isolates the primary
    And 5 s pass
    Then another endpoint is primary in term 2
