@fleet
Feature: Input that no client of ours sends ends no process, and harms no caller and no endpoint
  Control and entry VMs run as processes on loopback.

  Scenario: Odd entries among the endpoints
    Guards against VMs that end, or stop following the endpoints, after one odd entry.
    When other writers announce and deregister odd endpoints at every control VM for 3 s
    Then every process runs and has logged no traceback
    And callers are served at every entry VM
    And a new version of the configuration takes effect

  Scenario: Ids of callers that are not UTF-8
    Guards against entry VMs that never serve again after such ids.
    When callers send statements with ids and texts that are not UTF-8 for 3 s
    Then every process runs and has logged no traceback
    And callers are served at every entry VM
    And a new version of the configuration takes effect

  Scenario: Odd bytes on every port
    Guards against processes that end after bytes that they cannot read.
    When odd bytes and odd HTTP requests are sent to every port for 3 s
    Then every process runs and has logged no traceback
    And callers are served at every entry VM
    And a new version of the configuration takes effect
