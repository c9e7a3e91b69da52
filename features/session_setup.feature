Feature: A statement runs only on a connection that has its session's values and statements
  The scripted endpoint fails the next message of a kind. It runs messages that were sent together one
  after the other, also after one of them failed.

  # Guards against statements that run with other values than those acknowledged to their session.
  Scenario Outline: A statement is not sent if a message of its set-up fails
    Given a scripted endpoint that fails the next <message>
    When <request> of a session with a value and a prepared statement is run there
    Then the endpoint did not receive the statement
    And the reply says that it was not sent, and the connection is closed

    Examples:
      | message | request                      |
      | SET     | a single read                |
      | PREPARE | a single read                |
      | SET     | a single write               |
      | PREPARE | a single write               |
      | SET     | the first of a transaction   |
      | PREPARE | the first of a transaction   |
      | RESET   | a later one of a transaction |
      | PREPARE | a later one of a transaction |

  # Guards against statements that reach an evacuated zone since earlier messages took long.
  Scenario Outline: A statement is not sent after the bound of an evacuation
    Given a scripted endpoint that fails the next NOTHING
    And the bound of an evacuation of its zone ends while it answers <message>
    When <request> of a session with a value and a prepared statement is run there
    Then the endpoint did not receive the statement
    And the reply says that it was not sent, and the connection is closed
    And the reply has the code "<code>"

    Examples:
      | message | request                      | code                |
      | PREPARE | a single write               | zone_evacuated      |
      | BEGIN   | the first of a transaction   | zone_evacuated      |
      | PREPARE | a later one of a transaction | transaction_unknown |

  # Guards against a connection that counts as having a prepared statement that it lacks.
  Scenario: A connection that lacks a prepared statement is closed
    Given a scripted endpoint that fails the next EXECUTE
    When a single read of a session with a value and a prepared statement is run there
    Then the reply says that it was refused, and the connection is closed

  # Guards against callers who are told that a statement which they have prepared is unknown.
  @sessions
  Scenario: A statement is retried if an endpoint's connection has lost it
    Given a session "a" on "latest"
    When "a" sends "PREPARE s1 READ q1"
    And "a" sends "EXECUTE s1 x"
    And the endpoints forget all prepared statements
    And "a" sends "EXECUTE s1 y"
    Then the last answer of "a" is a success

  # Guards against statements that fail although another connection could serve them.
  @sessions
  Scenario: A statement is retried if a message of its set-up fails
    Given a session "a" on "latest"
    When "a" sends "SET tz utc"
    And the primary fails the next message of a set-up
    And "a" sends "READ x"
    Then the last answer of "a" is a success
    And every statement of "a" ran with "tz" set to "utc"
