@homes
Feature: Callers that return right after a restart are served once the VM is fresh
  After a restart of many VMs at once, all callers return within a second, while the restarted VMs
  wait for a configuration that a quorum confirms. The simulation has the VMs of homes.feature; "h7" is
  a further VM that has just started and has no configuration yet.

  Scenario: Sessions opened on a VM that has just started wait for its first fresh configuration
    Guards against a retry storm after a restart of the whole fleet: refusing each caller at once
    uses up its retries before the control log has a leader.
    Given a VM "h7" that starts without a configuration
    And 20 callers open a session on "own" at "h7"
    When 0.4 s pass and "h7" then receives the configuration
    Then 20 sessions at "h7" were opened within 0.5 s and none was refused
    And every session at "h7" serves a read

  Scenario: A session that no configuration reaches in time is refused as not run
    Given a VM "h7" that starts without a configuration
    And 5 callers open a session on "own" at "h7"
    When 2 s pass
    Then 5 sessions at "h7" were refused within 0.8 s as "configuration_not_fresh"

  Scenario: A VM that has been without a configuration for long refuses sessions at once
    Fail fast: no configuration is expected any more.
    Given a VM "h7" that starts without a configuration
    When 2 s pass
    And 5 callers open a session on "own" at "h7"
    Then 5 sessions at "h7" were refused within 0.01 s as "configuration_not_fresh"

  Scenario: A VM that is stopped refuses the sessions that wait
    Given a VM "h7" that starts without a configuration
    And 5 callers open a session on "own" at "h7"
    When "h7" is stopped and then receives the configuration
    Then 5 sessions at "h7" were refused within 0.8 s as "draining"

  Scenario: A caller that leaves while its session waits is forgotten
    Given a VM "h7" that starts without a configuration
    And 5 callers open a session on "own" at "h7"
    When the callers at "h7" leave
    And 0.4 s pass and "h7" then receives the configuration
    Then no session at "h7" is open
