@sessions
Feature: Promotion by fenced calls
  Scenario: A crashed primary is replaced by the replica that received most
    When the replica "b3" has received more than "b2"
    And the primary crashes
    And 2 s go by
    Then "b3" leads
    And every replica stopped receiving before the promotion

  Scenario: With a replica out of reach nothing is promoted
    When the endpoint "b3" crashes
    And the primary crashes
    And 3 s go by
    Then nothing was promoted

  Scenario: A replica that only refuses connections may live behind a cut and is waited for
    When the endpoint "b3" crashes
    And 1 s go by
    And the primary crashes
    And 3 s go by
    Then nothing was promoted

  Scenario: A replica whose address another endpoint has is left out
    When another endpoint takes the address of "b3"
    And 1 s go by
    And the primary crashes
    And 2 s go by
    Then "b2" leads

  Scenario: A replica that left and ended is left out
    When "b3" announces with sequence 5 that it leaves
    And the endpoint "b3" crashes
    And 0.6 s go by
    And the primary crashes
    And 2 s go by
    Then "b2" leads

  Scenario: A replica that ended is waited for while the others lack what it may have confirmed
    When the endpoint "b2" receives nothing
    And the primary has commits that the replicas lack for 0.1 s
    And another endpoint takes the address of "b3"
    And 1 s go by
    And the primary crashes
    And 3 s go by
    Then nothing was promoted

  Scenario: What a departed replica alone had confirmed is not given up by a promotion
    When the endpoint "b2" receives nothing
    And the primary has commits that the replicas lack for 0.1 s
    And the primary crashes
    And "b3" departs
    And 3 s go by
    Then nothing was promoted

  Scenario: A departed replica is of no account once another has all that the primary had since
    When "b3" departs
    And 1 s go by
    And the primary crashes
    And 2 s go by
    Then "b2" leads

  Scenario: An endpoint that leaves and ends without a word is forgotten
    When "b3" announces with sequence 5 that it leaves
    And the endpoint "b3" crashes
    And 2 s go by
    Then "b3" is not known any more

  Scenario: A call without an answer is followed by one with a higher fencing number
    When the next promotion call gets no answer
    And the primary crashes
    And 6 s go by
    Then the fencing numbers of the promotion calls only grew
    And one endpoint leads and is named

  Scenario: A primary that leaves hands over to a replica that has all it had
    When the primary leaves
    And 2 s go by
    Then an endpoint that stays leads
    And nothing committed was lost

  Scenario: An older announcement does not replace a newer one
    When "b2" announces with sequence 5 that it leaves
    And "b2" announces with sequence 4 that it stays
    Then "b2" counts as leaving

  Scenario: A write that meets a replaced primary is sent to the new one
    Given a session "a" on "latest"
    When "a" sends "WRITE x 1"
    And the platform promotes "b2" by itself
    And "a" sends "WRITE x 2" and waits 1 s
    Then the last answer of "a" is a success
    And the endpoints committed 2 writes

  Scenario: A replica that was held for nothing is released, though the release was lost once
    When the endpoint "b3" crashes
    And the primary goes silent for 2 s and the next release is lost
    And 4 s go by
    Then "b2" receives again
    And nothing new was promoted
