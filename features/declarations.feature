@sessions
Feature: A declared configuration is replaced as a whole by a higher version
  Scenario: A lower version is acknowledged and changes nothing
    When version 5 with the key "five" is declared
    And version 4 with the key "four" is declared
    Then both were accepted
    And version 5 is in force and its document is given back
    And the key "four" opens no session

  Scenario: Other content under the version held is acknowledged and not obeyed
    When version 5 with the key "five" is declared
    And version 5 with the key "other" is declared
    Then both were accepted
    And the key "other" opens no session

  Scenario: A higher version takes old keys away
    When version 5 with the key "five" is declared
    And version 6 with the key "six" is declared
    Then both were accepted
    And the key "five" opens no session
    And the key "six" opens a session

  Scenario: A state that was saved and loaded gives the same declaration
    When version 5 with the key "five" is declared
    Then the state that is saved and loaded holds version 5 and its document
