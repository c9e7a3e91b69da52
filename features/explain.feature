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
