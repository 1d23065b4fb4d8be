Feature: A process starts under signals and reports unusable settings

  Scenario: A reload signal does not end a process that is starting
    Guards against a SIGHUP before its handler is installed (soak seeds 311, 323, 412).
    When a process starts
    Then SIGHUP is ignored before anything large is imported

  Scenario Outline: Unusable settings end the process with a line that says why
    Guards against a process that starts half-configured or ends in silence.
    When a process starts with the settings <content>
    Then it exits with 2 and its only line is the event "settings_unusable"

    Examples:
      | content          |
      | nothing          |
      | {}               |
      | [1]              |
      | {"ip": 5}        |
