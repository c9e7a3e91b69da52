@sessions
Feature: Parts of the platform's programs

  Scenario: A voter that is not among the seeds is reached after all control VMs were restarted
    Given the address book of a VM that knows only its seeds
    Then the voter "10.4.0.7:8708" is reached at "10.4.0.7:8708"

  Scenario: A VM that has nothing gets the state and not all changes that led to it
    When a VM that has nothing polls after 30 changes
    Then it gets the state and not the changes
    And the state holds no document and no outcomes, and gives the same keys
    And a VM with a disk gets the document
