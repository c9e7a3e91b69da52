@sessions
Feature: The primary of a group is changed by calls with fencing tokens
  Scenario: When the primary crashes, all replicas are paused and the one that received most is promoted
    When the replica "b3" has received more commits than "b2"
    And the primary crashes
    And 2 s pass
    Then "b3" is the primary
    And every replica had paused replication before the promotion

  # The VM that ends does not say what it handed on, so only the replicas could show it.
  Scenario: No replica is promoted while one that may have confirmed a commit is unreachable
    When the endpoint "b3" crashes
    And the primary crashes
    And a VM that serves callers ends
    And 3 s pass
    Then no endpoint was promoted

  Scenario: A closed port does not prove that a replica has terminated, so the promotion waits for it
    When the endpoint "b3" crashes
    And 1 s pass
    And the primary crashes
    And a VM that serves callers ends
    And 3 s pass
    Then no endpoint was promoted

  Scenario: An unreachable replica does not block the promotion of one that has all that was handed on
    When callers commit for 0.2 s
    And the endpoint "b3" crashes
    And 1 s pass
    And callers commit for 0.2 s
    And the primary crashes
    And 1 s pass
    Then "b2" is the primary
    And no committed write was lost

  Scenario: A replica whose address another endpoint has taken does not block the promotion
    When another endpoint takes the address of "b3"
    And 1 s pass
    And the primary crashes
    And 2 s pass
    Then "b2" is the primary

  Scenario: A replica that announced that it leaves and closed its port does not block the promotion
    When "b3" announces with sequence 5 that it leaves
    And the endpoint "b3" crashes
    And 0.6 s pass
    And the primary crashes
    And 2 s pass
    Then "b2" is the primary

  Scenario: A terminated replica blocks the promotion while the others lack commits it may have confirmed
    When the endpoint "b2" receives no commits
    And callers commit for 0.1 s
    And another endpoint takes the address of "b3"
    And 1 s pass
    And the primary crashes
    And 3 s pass
    Then no endpoint was promoted

  Scenario: A deregistered replica blocks the promotion while the others lack commits it may have confirmed
    When the endpoint "b2" receives no commits
    And callers commit for 0.1 s
    And the primary crashes
    And "b3" crashes and is deregistered
    And 3 s pass
    Then no endpoint was promoted

  Scenario: A deregistered replica does not block the promotion once another has what the primary had since
    When "b3" crashes and is deregistered
    And 1 s pass
    And the primary crashes
    And 2 s pass
    Then "b2" is the primary

  # Guards against the loss of commits that only a replica had confirmed which then lost its log.
  Scenario Outline: A replica that starts again empty blocks the promotion until the primary is back
    When the endpoint "b2" receives no commits
    And callers commit for 0.5 s
    And <moment>, "b3" starts again empty and <announced>
    And 3 s pass
    Then no endpoint was promoted
    When the former primary starts again with its log
    And 3 s pass
    Then no committed write was lost

    Examples:
      | moment                          | announced                             |
      | 0 s after the primary crashes   | announces that                        |
      | 0 s after the primary crashes   | does not announce it                  |
      | 0.2 s after the primary crashes | announces that                        |
      | 0.2 s after the primary crashes | does not announce it                  |
      | 0.2 s after the primary crashes | is deregistered before it announces it |

  Scenario: A replica that starts again empty does not block the promotion once another has all
    When "b3" starts again empty and announces that
    And 1 s pass
    And the primary crashes
    And 2 s pass
    Then "b2" is the primary

  Scenario: A leaving endpoint that terminates without deregistering is removed
    When "b3" announces with sequence 5 that it leaves
    And the endpoint "b3" crashes
    And 2 s pass
    Then "b3" is no longer registered

  Scenario: A promotion call without a response is superseded by one with a higher fencing token
    When the next promotion call gets no response
    And the primary crashes
    And 6 s pass
    Then the fencing tokens of the promotion calls only increased
    And the endpoint that is primary is the one in the configuration

  Scenario: A leaving primary is replaced by a replica that has all its commits
    When the primary leaves
    And 2 s pass
    Then an endpoint that is not leaving is the primary
    And no committed write was lost

  Scenario: An announcement that arrives after a newer one is ignored
    When "b2" announces with sequence 5 that it leaves
    And "b2" announces with sequence 4 that it stays
    Then "b2" is registered as leaving

  Scenario: A write that reaches a replaced primary is retried on the new one
    Given a session "a" on "latest"
    When "a" sends "WRITE x 1"
    And the platform promotes "b2" on its own
    And "a" sends "WRITE x 2" and waits 1 s
    Then the last answer of "a" is a success
    And the endpoints committed 2 writes

  Scenario: A replica paused for a failover resumes when the primary answers again, even if a resume call is lost
    When a VM that serves callers ends
    And the primary does not answer for 3 s, "b3" crashes before its pause, and the next resume call is lost
    And 4 s pass
    Then "b2" has resumed replication
    And no other endpoint was promoted
