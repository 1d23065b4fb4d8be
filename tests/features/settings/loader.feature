Feature: Settings are validated before an instance starts

  Scenario: All errors are reported at once with line and field
    Given a settings text with a bad address on line 4 and a missing zone
    When the settings are loaded
    Then the error names line 4 and field "address"
    And the error names field "zone"

  Scenario: Comments are allowed
    Given a valid settings text with comments
    When the settings are loaded
    Then the settings belong to instance "entry-1"

  Scenario: Random text causes no error other than a settings error
    Then any text is either valid settings or a settings error
