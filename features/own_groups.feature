@simulation
Feature: No promotion loses an acknowledged write of a group with terms of the control log
  The simulated fleet has the VMs v1 to v3, which vote, s1, which is a standby, and o1 and o2, which
  have no disk; all serve callers. The group g has three endpoints: a primary and two replicas, the
  first and the second by name.

  Background:
    Given a running fleet

  Scenario: A promotion is refused late commands of the term that it replaced
    When a network partition isolates the primary
    And 3 s pass
    Then every endpoint in touch refuses to be fenced, promoted or to follow in the replaced term

  Scenario: A replica that is fenced does not confirm a write in the old term to a VM out of touch
    When a network partition separates the primary and o1 from the control VMs
    And 1 s pass
    And "w" is a write of "card-1" sent to o1
    And 2 s pass
    Then another endpoint leads in term 2
    And the old primary stores "card-1"
    And the result of "w" is not "run"

  Scenario: A write that a VM out of touch acknowledged before the fence is on the promoted endpoint
    When a network partition separates the second replica from the primary
    And a network partition separates o1 from the control VMs
    And "w" is a write of "card-1" sent to o1
    And 0.2 s pass
    Then the result of "w" is "run"
    When a network partition isolates the primary
    And 3 s pass
    Then the primary stores the value "card-1" 1 time(s)

  Scenario: A fence that is executed late and twice does not depose the primary of its term
    When fence commands are executed 0.7 s late and get no answer
    And a network partition isolates the primary
    And 1.5 s pass
    And commands are executed at once again
    And 3 s pass
    Then another endpoint leads
    When "w" is a write of "card-1" sent to o1
    And 3 s pass
    Then the result of "w" is "run"
    And the primary stores the value "card-1" 1 time(s)

  Scenario: A promote command that is executed after a newer promotion acknowledges nothing
    When promote commands are executed 3 s late and get no answer
    And a network partition isolates the primary
    And 0.6 s pass
    And commands are executed at once again
    And 2 s pass
    And "w1" is a write of "card-1" sent to o1
    And 4 s pass
    And "w2" is a write of "card-2" sent to o2
    And 2 s pass
    Then one endpoint in touch leads
    And every acknowledged write is on the primary
    And the result of "w2" is "run"

  Scenario: A follow command that is executed late does not take a replica back to an older primary
    When follow commands are executed 3 s late and get no answer
    And a network partition isolates the primary
    And 1 s pass
    And "w1" is a write of "card-1" sent to o1
    And commands are executed at once again
    And 5 s pass
    And "w2" is a write of "card-2" sent to o2
    And 2 s pass
    Then one endpoint in touch leads
    And every acknowledged write is on the primary
    And the result of "w2" is "run"

  Scenario: A replica that starts again between two probes follows the primary again
    When the replicas start again and forget their role
    And 1 s pass
    Then both replicas follow the primary
    When "w" is a write of "card-1" sent to o1
    And 1 s pass
    Then the result of "w" is "run"

  Scenario: A promotion survives the loss of the control leader once a majority is fenced
    When "w" is a write of "card-1" sent to o1
    And 0.2 s pass
    And a network partition isolates the primary
    And the control leader is killed once a majority is fenced
    And 5 s pass
    Then another endpoint leads
    And every acknowledged write is on the primary

  Scenario: An endpoint that was promoted but not named does not acknowledge writes
    When "w1" is a write of "card-1" sent to o1
    And 0.2 s pass
    And every control log message takes 0.02 s longer
    And a network partition isolates the primary
    And the control leader is cut off and killed once an endpoint leads in the new term
    And "w2" is a write of "card-2" sent to o1
    And 5 s pass
    Then another endpoint leads in term 3
    And every acknowledged write is on the primary

  Scenario: No two control leaders fence the endpoints in the same term
    When a network partition isolates the primary
    And the control leader is cut off and killed once its grant of a term is committed there only
    And control log messages are held up for 0.5 s once another VM leads the control log
    And 5 s pass
    Then another endpoint leads
    And each term was fenced by one VM

  Scenario: A VM that knows a group of three and one that knows four count overlapping majorities
    When a network partition separates the primary, the first replica and o1 from the others
    And a fourth endpoint joins the group
    And "w" is a write of "card-1" sent to o1
    And 3 s pass
    Then the result of "w" is "run"
    And no endpoint of the other side leads

  Scenario: A write that two of three endpoints have is kept by a promotion after two more joined
    When a network partition separates the second replica from the primary
    And "w" is a write of "card-1" sent to o1
    And 0.2 s pass
    Then the result of "w" is "run"
    When a network partition separates the primary, the first replica and o1 from the others
    And a fourth endpoint joins the group
    And a fifth endpoint joins the group
    And 5 s pass
    Then the endpoint that leads in the newest term stores "card-1", or none leads

  Scenario: A VM that knows a group of three acknowledges nothing that a majority of five lacks
    When a network partition separates the primary, the first replica and o1 from the others
    And a fourth endpoint joins the group
    And a fifth endpoint joins the group
    And 0.2 s pass
    And "w" is a write of "card-1" sent to o1
    And 5 s pass
    Then "w" is not acknowledged, or on the endpoint that leads in the newest term

  # Guards against endpoints that joined and never count: the loss of two others would block the group.
  Scenario: Endpoints that joined count from a new term on, so that two of five may be lost
    When a fourth endpoint joins the group
    And a fifth endpoint joins the group
    And 4 s pass
    Then 5 endpoints count in the majorities of the group
    When "w1" is a write of "card-1" sent to o1
    And 0.2 s pass
    And a network partition isolates the primary
    And 3 s pass
    And a network partition isolates the next primary
    And 3 s pass
    And "w2" is a write of "card-2" sent to o1
    And 1 s pass
    Then the result of "w1" is "run"
    And the result of "w2" is "run"
    And every acknowledged write is on the primary
    And no invariant was violated

  # Guards against a majority of new endpoints alone, before they have what the earlier ones confirmed.
  Scenario: Until a majority of five has a record of the new term, a fence needs a majority of three too
    When a fourth endpoint joins the group
    And a fifth endpoint joins the group
    Then the voting members before still count until the new ones have a record of their term

  Scenario Outline: Random joins, cuts, late commands and lost control leaders lose no acknowledged write
    When endpoints join, links are cut, commands are late and control leaders are lost at random, seed <seed>
    Then every acknowledged write is on the primary once all is well again

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: A write is kept if the replica that confirmed it starts again empty before a promotion
    When a network partition separates the second replica from the primary
    And "w" is a write of "card-1" sent to o1
    And 0.2 s pass
    Then the result of "w" is "run"
    When a network partition isolates the primary
    And the first replica starts again with an empty log
    And 5 s pass
    Then the endpoint that leads in the newest term stores "card-1", or none leads

  Scenario: A replica that was fenced and starts again empty does not confirm in the older term
    When a network partition separates the primary and o1 from the control VMs
    And another endpoint leads within 1 s
    And 0.1 s pass
    And the replica that was not promoted starts again with an empty log
    And a late command has it follow the old primary in the old term
    And a network partition cuts the restarted replica off from the control VMs
    And "w" is a write of "card-1" sent to o1
    And 0.3 s pass
    Then "w" is not acknowledged, or on the endpoint that leads in the newest term
