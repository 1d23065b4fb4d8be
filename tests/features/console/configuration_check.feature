Feature: Operators check a configuration file

  Scenario: A valid file
    Guards against an exit code that stops a correct change.
    Given a configuration file without faults
    Then the check of "FILE" exits with 0 and prints "valid"

  Scenario: Warnings and differences do not change the exit code
    Guards against scripts that reject every change.
    Given a configuration file without faults
    And a copy of it with version 6 as the version in force
    And the file sets a limit of 8 millicores
    Then the check of "FILE --against FORMER" exits with 0 and prints "warning small-limit: workspace team"
    And the check of "FILE --against FORMER" exits with 0 and prints "info workspace-changed: workspace team"

  Scenario: A file with an error
    Guards against errors that a script does not notice.
    Given a configuration file without faults
    And a copy of it with version 7 as the version in force
    Then the check of "FILE --against FORMER" exits with 1 and prints "error version-not-higher: configuration"
    And the check of "FILE --against FORMER --json" exits with 1 and prints ""code": "version-not-higher""

  Scenario Outline: A file that cannot be decoded or read
    Guards against a traceback, or a version in force that is ignored.
    Given a configuration file without faults
    And a copy of it with version 6 as the version in force
    And the <name> file is <state>
    Then the check of "FILE --against FORMER" exits with 1 and <says> "<text>"

    Examples:
      | name   | state     | says   | text                                       |
      | FILE   | malformed | prints | error undecodable: configuration: not JSON |
      | FILE   | missing   | notes  | cannot be read                             |
      | FORMER | malformed | notes  | not JSON                                   |
      | FORMER | missing   | notes  | cannot be read                             |

  Scenario: The example of the operations page is what the command prints
    Guards against an example that no longer matches the program.
    Given the configuration files of the operations page
    Then the check of "new.json --against current.json" exits with 1 and prints the lines of the page
