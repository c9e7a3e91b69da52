@world
Feature: Endpoints come, fail and leave
  Background:
    Given a running fleet

  Scenario: A read is served elsewhere when a replica is cut off
    When both replicas are cut off from everyone
    And "r" is a read of "all" sent to o1
    And 3 s pass
    Then the result of "r" is "run"

  Scenario: An endpoint that is leaving gets no new work after 3 s
    When one replica announces that it leaves
    And 3 s pass
    And o1 sends 20 reads of "w" one every 0.05 s
    Then none of them went to the leaving endpoint
    And none of them was refused

  Scenario: A leaving primary hands over to an endpoint that stays
    When the primary announces that it leaves
    And 3 s pass
    Then another endpoint is primary
    And no invariant was violated

  Scenario: Data older than the accepted age is not given
    When the replicas receive nothing for 5 s
    And "r" is a read with a maximum age of 1 s sent to o1
    And 3 s pass
    Then the result of "r" is "run"
    And the data of "r" is at most 1 s old

  Scenario: A promotion happens only on the side with a majority
    When the primary is cut off from everyone
    And one replica is cut off from everyone
    And 5 s pass
    Then no endpoint but the old primary is primary

  Scenario: The loss of a primary costs one term, also while the control log is slow
    When the control log takes 0.06 s more for each message
    And the primary is cut off from everyone
    And 5 s pass
    Then another endpoint is primary in term 2
