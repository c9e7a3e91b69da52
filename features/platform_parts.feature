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

  Scenario: A control VM that has just started empties no VM's list of those that serve callers
    Given a control VM that leads and knows that "f1" and "f2" serve callers
    When a VM that knows no list polls it
    Then that VM knows "f1" and "f2"
    When the VM polls a control VM that has just started
    Then that VM knows "f1" and "f2"

  Scenario: A VM that stops leaves the list, and a list that is known is not sent again
    Given a control VM that leads and knows that "f1" and "f2" serve callers
    When a VM that knows no list polls it
    Then a second poll gets no list
    When "f2" tells that it stops
    And a VM that knows no list polls it
    Then that VM knows "f1" and not "f2"

  Scenario: The leader puts the lists of all control VMs together and keeps that of a silent zone
    Given a control VM that leads and knows that "f1" and "f2" serve callers
    When a control VM tells that "f7" serves callers
    And a VM that knows no list polls it
    Then that VM knows "f1" and "f7"
    When 5 s pass in which only "f1" polls
    And a VM that knows no list polls it
    Then that VM knows "f1" and "f7"
    When 6 s pass in which only "f1" polls
    And a VM that knows no list polls it
    Then that VM knows "f1" and not "f7"

  Scenario: A VM that only serves callers gets what changed of a declaration
    Given a VM that only serves callers and is up to date
    When versions 2 to 6 change a rate, a key, a limit and the workspaces
    And the same version is declared once more
    Then the VM catches up with less than 0.3 of what the declarations hold
    And it has the same routes, workspaces and keys

  Scenario: A change that does not fit makes a VM ask for the whole state
    Given a VM that only serves callers and is up to date
    When it is sent a change of another declaration
    Then it is not fresh and asks for the whole state

  Scenario: The leader is asked first by voters, and second by others
    Given control VMs "c1", "c2" of zone "z1" and "c3", "c4" of zone "z2", of which "c1", "c3" vote
    When "c3" leads
    Then "c1" polls "c3" first
    And a VM of zone "z1" that serves callers polls "c1" first and "c3" second
    And a VM of zone "z2" that serves callers polls "c3" first and "c4" second
