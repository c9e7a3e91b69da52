Feature: The logs of a played day show where requests were lost
  Each line has the time in seconds, the VM and a structured log line.

  Scenario: Requests are counted by second and cause, and the steps of a recovery are timed
    Given the logs of a day
      | time | vm | kind               | cause         | attempts |
      | 1.2  | e1 | request_answered   | ok            | 1        |
      | 1.3  | e1 | request_refused    | rate_limited  | 0        |
      | 2.1  | e2 | request_refused    | no_endpoint   | 2        |
      | 3.0  | c1 | leader_elected     | elected       | 0        |
      | 3.4  | e1 | freshness_regained | quorum        | 0        |
      | 3.9  | e2 | freshness_regained | quorum        | 0        |
    And a line that is not a log line
    Then the table has the row "| 1 | 1 | rate_limited (untried) 1 |"
    And the table has the row "| 2 | 0 | no_endpoint 1 |"
    And the table has the row "| freshness_regained | 2 | 3.40 | 3.90 |"
