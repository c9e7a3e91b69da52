@processes
Feature: The platform's real programs keep their promises as processes on loopback
  Scenario: A primary, a control VM and an entry VM are lost, and a key is withdrawn
    When the demo of the platform's programs runs with phases of 1 s
    Then every promise held

  Scenario Outline: Random faults from outside, seeded
    When the soak of the platform's programs runs with seed <seed> for 5 s
    Then every promise held

    Examples:
      | seed |
      | 3    |
