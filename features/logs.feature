Feature: Logging is rate limited and never blocks

  Scenario: Lines above the rate limit are dropped and counted
    Given a log whose reader reads everything
    When 1000 lines are logged at once
    Then fewer than 500 lines arrive
    When the rate limit allows lines again and one more is logged
    Then the lines that arrive include the number of dropped lines

  Scenario: A reader that reads nothing does not block the logging code
    Given a log whose reader reads nothing
    When 3000 lines of 2000 bytes are logged within the rate limit
    Then logging took less than 3 s, and lines were dropped

  Scenario: A line is one JSON object with the fields of its event
    Given a log whose reader reads everything
    When an event about "request 7" caused by "rate_limited" is logged
    Then the line that arrives has the subject "request 7" and the cause "rate_limited"

  Scenario Outline: A line that holds what JSON cannot carry is written all the same
    Guards against an id of a caller that ends whichever loop logs it.
    Given a log whose reader reads everything
    When an event about <value> is logged
    Then a line of valid UTF-8 arrives that shows <text>

    Examples:
      | value                       | text               |
      | bytes that are not UTF-8    | \xff\xfeid          |
      | a lone surrogate            | \ud800             |
      | an integer beyond 64 bits   | 36893488147419103232 |
      | an object without a text    | Unprintable        |
      | lists nested 1000 deep      | list               |
      | a key that is not UTF-8     | \xff               |

  Scenario: A record whose message cannot be formatted is counted and does not raise
    Guards against a log line that ends the code that logs it.
    Given a log whose reader reads everything
    When a record with too few arguments is logged
    Then a line arrives that names its logger, and the failure is counted
