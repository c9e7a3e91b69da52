@homes
Feature: Of two VMs, the one with the newer configuration decides about a caller's key
  As in the feature on homes: VMs h1 to h6, of which "h3" is no home of the primary and relays
  statements to one. Version 1 gives the key "k1" to the workspace "w1" and "k2" to "w2".

  # Guards against statements that run for a key's former workspace: a home VM that stood still looked
  # the key of a relayed statement up in its old configuration.
  Scenario: A key was given to another workspace, and the home has not applied that
    Given a session "a" on "latest" at "h3"
    When the configuration of every VM but "h3" stays as it is
    And version 2 gives the key "k1" to "w2"
    And "a" sends at "h3" "WRITE x 1"
    Then the last statement of "a" was relayed and ran for "w2"
    And the home decided 1 statement by the newer version 2

  # Guards against refusals of a key with which callers were served before, for the same reason.
  Scenario: A key is new, and the home has not applied that
    When the configuration of every VM but "h3" stays as it is
    And version 2 gives the key "k9" to "w1"
    And the session "a" opens on "latest" at "h3" with the key "k9"
    And "a" sends at "h3" "WRITE x 1"
    Then the last statement of "a" was relayed and ran for "w1"
    And the home decided 1 statement by the newer version 2

  # Guards against a key that runs on the word of an older VM after it was withdrawn or given away.
  Scenario Outline: <change>, and the VM that relays has not applied that
    Given a session "a" on "latest" at "h3"
    When the configuration of "h3" stays as it is
    And version 2 gives the key "<key>" to "w2"
    And "a" sends at "h3" "WRITE x 1"
    Then the last statement of "a" was relayed, did not run and was reported as not run
    And the last statement of "a" was refused as "<code>"

    Examples:
      | change                                   | key | code                    |
      | The key was given to another workspace   | k1  | key_moved               |
      | The key was withdrawn                    | k9  | configuration_not_fresh |

  # Guards against a stale decision of a home that was out of touch for too long to decide at all.
  Scenario: A home without a fresh configuration does not run what a VM with a newer one relays
    Given a session "a" on "latest" at "h3"
    When the configuration of every VM but "h3" stays as it is
    And version 2 gives the key "k1" to "w2"
    And 5 s pass for the homes
    And "a" sends at "h3" "WRITE x 1"
    Then no home decided a statement by a newer version
    And the last statement of "a" ran for no other workspace than "w2"

  # Guards against upgrades that stop statements: VMs of the build before name no decision, or read none.
  Scenario: A statement of a VM of an older build runs by the home's configuration
    Given relayed statements come without "key_decision"
    And a session "a" on "latest" at "h3"
    When "a" sends at "h3" "WRITE x 1"
    Then the last statement of "a" was relayed and ran for "w1"

  # Guards against a final refusal of a key that the caller's VM knows, by a home of an older build.
  Scenario: A home of an older build does not know a new key yet
    Given relayed statements come without "key_decision"
    When the configuration of every VM but "h3" stays as it is
    And version 2 gives the key "k9" to "w1"
    And the session "a" opens on "latest" at "h3" with the key "k9"
    And "a" sends at "h3" "WRITE x 1"
    Then the last statement of "a" was relayed, did not run and was reported as not run
    And the last statement of "a" was refused as "configuration_not_fresh"
