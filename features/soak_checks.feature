@soak_board
Feature: The fault soak sees when a guarantee does not hold

  # Guards against a soak that passes because nothing judges what callers and endpoints saw.
  Scenario Outline: A read that must see a commit and misses it is found
    Given "s1" wrote on "latest", which was acknowledged at 10.0 s
    When "<session>" on "<database>" sends a read at <sent> s, which sees <commits> commits
    Then the check "no read misses a commit that it must see" finds <count>

    Examples:
      | session | database | sent | commits | count |
      | s2      | latest   | 10.1 | 0       | 1     |
      | s2      | latest   | 10.1 | 1       | 0     |
      | s2      | latest   | 9.9  | 0       | 0     |
      | s2      | bounded  | 11.4 | 0       | 0     |
      | s2      | bounded  | 11.6 | 0       | 1     |
      | s2      | own      | 12.4 | 0       | 0     |
      | s1      | own      | 10.1 | 0       | 1     |

  # Guards against promotions that nobody compares with what callers were told, before or after.
  Scenario Outline: An acknowledged commit that a promoted endpoint lacks is found
    Given "s1" wrote on "latest", which was acknowledged at <moment> s
    And <received> received it
    When "e2" is promoted at 10.0 s
    Then the promoted endpoint is found to lack <count> acknowledged commits

    Examples:
      | moment | received      | count |
      | 9.0    | no replica    | 1     |
      | 11.0   | no replica    | 1     |
      | 9.0    | "e2" and "e3" | 0     |

  Scenario Outline: A statement of a key that was withdrawn before the limit is found
    Given the key "rotating-1" was withdrawn by a version that was acknowledged at 10.0 s
    When a statement of "rotating-1" that was sent at <sent> s reaches an endpoint
    Then the check "a withdrawn key stops" finds <count>

    Examples:
      | sent | count |
      | 14.9 | 0     |
      | 15.1 | 1     |

  Scenario Outline: A statement that reaches an endpoint which has left is found
    Given the endpoint "e1" announced its end, which was acknowledged at 10.0 s
    When a statement of "key-1" that was sent at <sent> s reaches an endpoint
    Then the check "a leaving endpoint gets no new work" finds <count>

    Examples:
      | sent | count |
      | 16.9 | 0     |
      | 17.1 | 1     |

  Scenario Outline: A configuration that is older than an acknowledged one is found
    Given the key "rotating-1" was withdrawn by a version that was acknowledged at 10.0 s
    When version 1 is read back at <sent> s
    Then the check "an acknowledged configuration is read back" finds <count>

    Examples:
      | sent | count |
      | 12.9 | 0     |
      | 13.1 | 1     |

  Scenario Outline: A statement that a planned stop leaves without an answer is found
    Given "entry-1" was stopped as planned at 10.0 s
    And <disruption>
    When a statement sent at 14.5 s to "entry-1" reaches an endpoint and is cut off at <cut> s
    Then the check "statements are answered, and their answers are true" finds <count>

    Examples:
      | disruption                    | cut  | count |
      | nothing was disrupted         | 15.2 | 1     |
      | nothing was disrupted         | 15.6 | 0     |
      | an endpoint crashed at 11.0 s | 15.2 | 0     |
      | an endpoint crashed at 10.1 s | 15.2 | 1     |

  # Guards against judging a statement by an earlier stop of a VM that was stopped twice.
  Scenario: A statement belongs to the last stop of its VM
    Given "entry-1" was stopped as planned at 7.0 s
    And "entry-1" was stopped as planned at 10.0 s
    Then a statement at "entry-1" that ends at 12.0 s belongs to the stop at 10.0 s

  Scenario Outline: A statement that is cut off although its VM goes on is found
    Given "entry-1" was stopped as planned at 10.0 s
    When a statement sent at <sent> s to "<vm>" reaches an endpoint and is cut off at <cut> s
    Then the check "a VM that goes on cuts off no statement" finds <count>

    Examples:
      | vm      | sent | cut  | count |
      | entry-1 | 10.1 | 10.2 | 0     |
      | entry-1 | 17.1 | 17.2 | 1     |
      | entry-2 | 10.1 | 10.2 | 1     |

  Scenario: A statement that ran for another workspace or with other values is found
    When a statement of "rotating-1" ran for "w1" with the values "who=s9"
    Then the check "statements run with their session's values and workspace" finds 2

  Scenario: Processes that end by themselves, and stops that need to be killed, are found
    When "entry-1" ends by itself with the code 1
    And the planned stop of "entry-2" ends with the code -9
    Then the check "no process ends by itself" finds 1
    And the check "planned stops end in time" finds 1
