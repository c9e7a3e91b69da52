Feature: Logs are bounded, and writing them never waits

  Scenario: Lines beyond the rate are dropped and counted
    Given a log whose reader reads everything
    When 1000 lines are logged at once
    Then fewer than 500 lines arrive
    When the log's rate allows lines again and one more is logged
    Then the lines that arrive tell how many were dropped

  Scenario: A reader that reads nothing holds nothing up
    Given a log whose reader reads nothing
    When 3000 lines of 2000 bytes are logged as the rate allows
    Then logging them took less than 3 s

  Scenario: A line is one JSON object with the fields of its event
    Given a log whose reader reads everything
    When an event about "request 7" caused by "rate_limited" is logged
    Then the line that arrives holds the subject "request 7" and the cause "rate_limited"
