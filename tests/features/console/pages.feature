Feature: The operator documentation matches the program

  Scenario: The operations page lists every metric, error and exit code
    Then the operations page has a row for every metric with its kind
    And the operations page states for every error code whether the request ran
    And the operations page has every exit code

  Scenario: The example of the rules page is valid
    Then the example on the rules page parses without a problem
    And the rules page shows the problem that its typing error gives
