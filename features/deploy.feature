@folder
Feature: The build of the deploy file uses nothing that was built for something else
  target/ may be carried over from another machine or another commit.

  Background:
    Given a checkout with the build script, whose installer only records its calls

  Scenario: Libraries are installed once
    When it is built
    And it is built
    Then the libraries were installed 1 time

  # Guards against programs that end at their start with libraries of another processor.
  Scenario Outline: Libraries that do not fit are installed again, in an empty folder
    When it is built
    And <change>
    And it is built
    Then the libraries were installed 2 times
    And nothing of the first installation is left

    Examples:
      | change                                     |
      | the machine is one with another processor  |
      | the interpreter is of another version      |
      | another version of a library is pinned     |

  # Guards against programs of an older commit.
  Scenario Outline: Packages are copied again if they changed
    When it is built
    And <change>
    And it is built
    Then the built packages are those of the checkout

    Examples:
      | change                                                  |
      | a module is edited                                      |
      | a module is removed                                     |
      | the build of another commit ends while it copies        |

  Scenario: Packages that did not change keep their files
    When it is built
    And it is built
    Then the files of the packages were written once
