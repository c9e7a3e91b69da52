@folder
Feature: A failed request is explained from collected logs alone
  Scenario: The cause of an unknown outcome is found from the request's id
    Given logs of a request "r1" whose primary was lost before its commit was answered
    When "r1" is explained from the logs
    Then the explanation names "failover_started" before "request_unknown"

  Scenario: Log lines that are not events are skipped
    Given logs with malformed lines and lines of other programs
    When "r2" is explained from the logs
    Then the explanation is "Nothing is known of r2."

  Scenario: The explanation of a refusal under overload says who else waited and was refused
    Guards against overload whose victims and causes cannot be told apart from the logs.
    Given logs of two VMs of an overloaded group, in which request "r3" was refused
    When "r3" is explained from the logs
    Then the explanation counts for priority "0": "answered 2, refused none, median wait 10 ms"
    And the explanation counts for priority "2": "answered 0, refused overloaded 2, median wait 90 ms"

  @promotions
  Scenario: The explanation of a commit shows the promotion of its group, and what its VM knew of it
    Guards against lost or unknown commits whose promotion cannot be told from the logs.
    Given all VMs of the simulation write logs
    And a caller at "h1"
    When the control leader no longer reaches the primary
    And the promote call has been made
    And the caller at "h1" writes
    And "b4" joins
    And 2 s pass
    And "w1" is explained from the logs
    Then the explanation names in this order:
      | line               | of |
      | failover_started   | b1 |
      | replication_paused | b2 |
      | replication_paused | b3 |
      | promote_called     | b2 |
      | promote_ended      | b2 |
      | endpoint_joined    | b4 |
      | commit_withheld    | w1 |
      | request_unknown    | w1 |
      | primary_observed   | b2 |

  Scenario: The explanation of a commit leaves out promotions of other groups, and registrations without one
    Given logs of a commit "r4" of group "g", beside a promotion of group "h" and a join in "g"
    When "r4" is explained from the logs
    Then the explanation has 1 line
