@sessions
Feature: Metrics of a VM that serves sessions
  Scenario: Statements are counted by result code, and latency, sessions, connections and events are exported
    Given a session "a" on "own"
    When "a" sends "READ x"
    And "a" sends "EXECUTE nothing 1"
    Then the metrics count 1 statement as "ok" and 1 as "no_statement"
    And the metrics contain latency, open sessions, connections and events

  Scenario: The metrics are built at most once a second
    Guards against requests for metrics that take the processor time of the other ports.
    Given a session "a" on "own"
    When "a" sends "READ x"
    And the metrics are read before and after "a" sends "READ y"
    Then the metrics read are the same
    When the metrics are read a second later
    Then the metrics read are new
