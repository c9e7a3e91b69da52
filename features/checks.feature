@folder
Feature: Failed scenarios that are listed as known do not fail the run of the tests

  # Guards against known failures that cannot be listed: names of an outline's scenarios end with a
  # blank if the last cell is empty, and editors strip blanks at the ends of lines.
  Scenario Outline: A scenario with the name "<name>" fails and is listed as "<listed>"
    Given a list of known failures with "<listed>"
    When a scenario with the name "<name>" fails
    Then <count> unexpected failure is counted

    Examples:
      | name                     | listed                  | count |
      | A write -- @1.2$blank    | A write -- @1.2         | 0     |
      | A write -- @1.2          | A write -- @1.2         | 0     |
      | A $blank write -- @1.2   | A write -- @1.2         | 0     |
      | A write -- @1.2$blank    | A write -- @1.1         | 1     |
      | A write -- @1.2$blank    | A write                 | 1     |
