@sessions
Feature: A declared configuration is replaced as a whole, and only by a higher version
  Scenario: A lower version is acknowledged but not applied
    When version 5 with the key "five" is declared
    And version 4 with the key "four" is declared
    Then both declarations were accepted
    And version 5 is the current one, with its document
    And the key "four" opens no session

  Scenario: Different content under the current version is acknowledged but not applied
    When version 5 with the key "five" is declared
    And version 5 with the key "other" is declared
    Then both declarations were accepted
    And the key "other" opens no session

  Scenario: A higher version revokes the keys that it does not contain
    When version 5 with the key "five" is declared
    And version 6 with the key "six" is declared
    Then both declarations were accepted
    And the key "five" opens no session
    And the key "six" opens a session

  Scenario: A declaration is restored from a snapshot with its version, document and keys
    When version 5 with the key "five" is declared
    Then a configuration loaded from a snapshot has version 5 with its document and key
