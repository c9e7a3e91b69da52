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
