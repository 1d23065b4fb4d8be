Feature: The operators API rejects unauthenticated and invalid requests

  Background:
    Given two served instances with the example rules

  Scenario: Every route needs the operators' key
    Then every route of the operators API responds with 401 without the key

  Scenario: Any body gets a response, and an error has a stable code
    Then any body to any route gets a response or a problem with a code
    And the configuration is still at version 1

  Scenario: An author with terminal control characters is rejected
    When rules are applied by the author "ana\x1b[2J"
    Then the API responds with status 400 and code "request-invalid"

  Scenario: A version conflict and a parser error have their own status
    When rules are applied on version 0 by the author "ana"
    Then the API responds with status 409 and code "version-conflict"
    When the text "team" is applied as rules
    Then the API responds with status 422 and code "rules-invalid"
