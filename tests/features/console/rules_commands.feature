Feature: Operators preview and apply changes of the rules

  Background:
    Given two served instances with the example rules

  Scenario: An operator changes one line, previews it and applies it
    When the rules are written to a file by "rules show"
    And "limit 200" becomes "limit 80" in the file
    Then "rules check" succeeds with "valid"
    And "rules diff" shows the changed line with "limit 80"
    And "rules preview" says "Team claims may run at most 80 tasks at once"
    And "rules preview" says "90 tasks, 10 above its limit of 80"
    And "rules preview" shows team "claims" as "loses" and team "public" as "same"
    And "rules apply" succeeds with "zone occidente-a: in force"
    And "rules history" names the author "ana" and "limit 80"
    And "rules explain team claims" says "at most 80 tasks"

  Scenario: An outdated file conflicts and does not overwrite a later change
    When the rules are written to a file by "rules show"
    And "luis" applies another limit on line 1 in the meantime
    And "limit 200" becomes "limit 80" in the file
    Then "rules apply" exits with 3 and notes "luis changed line 1"

  Scenario: A file without a base version is refused
    Given a rules file without a base version
    Then "rules apply" exits with 2 and notes "rules show"

  Scenario: Errors in a file are reported with line and correction
    When the rules are written to a file by "rules show"
    And "share 40" becomes "shar 40" in the file
    Then "rules check" exits with 1 and prints "line 1, column 13"
    And "rules apply" exits with 1 and notes "did you mean 'share'?"

  Scenario: An isolated zone is named
    Given zone "occidente-a" is isolated
    When the rules are written to a file by "rules show"
    And "limit 200" becomes "limit 80" in the file
    Then "rules apply --wait 0" exits with 4 and notes "occidente-a"

  Scenario: An outage of the store is reported with the next step
    When the rules are written to a file by "rules show"
    And "limit 200" becomes "limit 80" in the file
    And the store of the served instances stops
    Then "rules apply" exits with 1 and notes "error store-unavailable"
    And "rules apply" exits with 1 and notes "next step: nothing was changed"
    And "rules apply --json" reports the error code "store-unavailable" as JSON

  Scenario: Applying a file twice changes nothing the second time
    When the rules are written to a file by "rules show"
    And "limit 200" becomes "limit 80" in the file
    Then "rules apply" succeeds with "applied as version 2"
    And "rules apply" succeeds with "already in force in version 2"
