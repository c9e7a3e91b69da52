@homes
Feature: Statements are handed over to the VMs that hold an endpoint's connections

  Scenario: Many VMs with many workspaces open few connections
    Pattern: connection storm, answered by one holder of connections for a workspace and endpoint.
    Given 24 workspaces with a session of "bounded" and of "latest" at every VM
    When every session reads once in 0.5 s, 6 times
    Then all reads were served within 0.25 s
    And the endpoints saw at most 0.15 connections for each read

  Scenario: A transaction stays on the home's connection, and its values go along
    Given a session "a" of "latest" at "h3"
    When "a" sends at "h3" "SET tz utc"
    And "a" sends at "h3" "BEGIN"
    And "a" sends at "h3" "WRITE x 1"
    And "a" sends at "h3" "READ x"
    And "a" sends at "h3" "COMMIT"
    Then every statement of "a" was answered well
    And the statements ran in one transaction, with the value "tz" of "utc"
    And no transaction is left at any home

  Scenario: A home that goes dark costs one attempt, then another serves
    Given 4 workspaces with a session of "bounded" and of "latest" at every VM
    When every session reads once in 0.5 s, 2 times
    And the home that most statements go to goes dark
    And every session reads once in 0.5 s, 4 times
    Then the reads of the last 2 rounds were served within 0.5 s

  Scenario: A write whose home gave no answer is in doubt and is not sent again
    Given a session "a" of "latest" at "h3"
    When every VM but "h3" goes dark
    And "a" sends at "h3" "WRITE x 1"
    Then the last statement of "a" is in doubt and was handed over once

  Scenario: A key that the home knows as withdrawn runs nothing there
    Given a session "a" of "latest" at "h3"
    When every home but "h3" knows of a version without the keys
    And "a" sends at "h3" "WRITE x 1"
    Then nothing of "a" ran and it was told so

  Scenario: A sender that vanishes leaves no transaction behind
    Given a session "a" of "latest" at "h3"
    When "a" sends at "h3" "BEGIN"
    And "a" sends at "h3" "WRITE x 1"
    Then a transaction is held at a home
    When nothing more is heard of "h3" for 6 s
    Then no transaction is left at any home

  Scenario: Connections from before the homes were known give way to those of the homes
    Pattern: leaked shares, answered by closing what another VM is the home of.
    Given no VM knows which VMs serve callers
    And 24 workspaces with a session of "bounded" and of "latest" at every VM
    When every session reads once in 0.5 s, 2 times
    And all VMs are known as serving callers
    And every session reads once in 0.5 s, 2 times
    Then only homes hold idle connections

  Scenario: An overloaded endpoint is not asked by more statements than fill its queue
    Pattern: metastable overload, answered by a bound of statements under way for all homes together.
    Given the endpoints have 1 slot and 0.02 s of work a statement
    And 24 workspaces with a session of "bounded" and of "latest" at every VM
    When every session reads once in 0.5 s, 6 times
    Then at least 0.7 of what the slots can serve was served
    And the endpoints saw at most 2 connections for each of 24 workspaces
