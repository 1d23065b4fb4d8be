Feature: The operators API refuses what it cannot trust

  Background:
    Given two served instances with the example rules

  Scenario: Every route needs the operators' key
    Then no route of the operators API answers without the key

  Scenario: Any body gets an answer with a stable code
    Then any JSON body to any route gets an answer or a problem with a code
    And the configuration is still at version 1

  Scenario: An author cannot disturb the terminals of others
    When rules are applied by the author "ana\x1b[2J"
    Then the API answers 400 with code "request-invalid"

  Scenario: A conflict and a parser error have their own status
    When rules are applied on version 0 by the author "ana"
    Then the API answers 409 with code "version-conflict"
    When the text "team" is applied as rules
    Then the API answers 422 with code "rules-invalid"
