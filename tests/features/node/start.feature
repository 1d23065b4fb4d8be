Feature: A starting process ignores SIGHUP and reports invalid settings

  Scenario: SIGHUP does not end a process that is starting
    Guards against a SIGHUP that arrives before its handler is installed (soak
    seeds 311, 323, 412).
    When a process starts
    Then SIGHUP is ignored before any large module is imported

  Scenario Outline: Invalid settings end the process with an error in the log
    Guards against a process that starts partly configured or exits without a
    log line.
    When a process starts with the settings <content>
    Then it exits with 2 and its only line is the event "settings_unusable"

    Examples:
      | content          |
      | nothing          |
      | {}               |
      | [1]              |
      | {"ip": 5}        |
