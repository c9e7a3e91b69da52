Feature: A seed with an empty disk is a voter of the first start only if no seed knows otherwise
  Otherwise it may have voted before and have lost its disk, and is a new member without a vote.

  Background:
    Given three seeds with empty disks that can ask each other

  Scenario: At the first start, every seed is a founder
    Then "a" is a founder
    And "c" is a founder

  Scenario: A seed whose votes another one has heard has lost its disk
    When "b" has heard a control message of "a"
    Then "a" is not a founder

  Scenario: A seed that started from its disk knows that this is not the first start
    When "b" has started from its disk
    Then "a" is not a founder

  Scenario: A seed of an older build does not confirm the first start
    When "b" is of an older build
    Then "a" is not a founder

  Scenario Outline: A seed waits for those that cannot tell yet
    When "b" <cannot tell>
    Then "a" does not know whether it is a founder, and is one once "b" can tell

    # Guards against a first start that waits without a word.
    And "a" has logged once that it waits for "b"

    Examples:
      | cannot tell                    |
      | is out of reach                |
      | has not read its disk yet      |
