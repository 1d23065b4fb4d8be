Feature: A rules text is validated as a whole before it is applied

  Scenario: The example of the design page is valid
    Given the example rules text
    When the rules text is parsed
    Then team "claims" has share 40, limit 200 and workspace "claims-desk"
    And queue "walk-in" is open for team "public"
    And queue "bundles" has a deadline of 21600 s and priority 5
    And the preferred zones are "centro-a centro-b"

  Scenario Outline: The kind service is distinguished from the field service
    # Guards against a parser that reads the value 'service' of the field
    # 'kind' as the start of the field 'service'.
    Given the example rules text with the line "<line>"
    When the rules text is parsed
    Then queue "monitors" has kind "service"

    Examples:
      | line                                                         |
      | queue monitors kind service service claims-engine keyed # x  |
      | queue monitors service claims-engine kind service keyed # x  |
      | queue monitors service claims-engine keyed kind service # x  |

  Scenario Outline: Each error is reported with its position and a correction
    Given the example rules text with the line "<line>"
    When the rules text is parsed
    Then its only problem is at column <column> and contains "<part>"

    Examples:
      | line                                                   | column | part                      |
      | tem a share 1 limit 2 # x                              | 1      | did you mean 'team'?      |
      | team a shar 1 limit 2 # x                              | 8      | did you mean 'share'?     |
      | team a share 0 limit 2 # x                             | 14     | greater than 0            |
      | team a share 1 limit 2.5 # x                           | 22     | whole number              |
      | team a share 1 limit # x                               | 21     | 'limit' has no value      |
      | team a share 1 limit 2                                 | 23     | who asked for the rule    |
      | team a share 1 # x                                     | 15     | 'limit' is missing        |
      | team a share 1 share 1 limit 2 # x                     | 16     | 'share' is repeated       |
      | team claims share 1 limit 2 # x                        | 6      | already defined on line 1 |
      | queue q kind quik service s keyed # x                  | 14     | did you mean 'quick'?     |
      | queue q kind quick service s open team publik # x      | 40     | did you mean 'public'?    |
      | queue q kind quick service s open # x                  | 34     | add 'team NAME'           |
      | queue q kind quick service s # x                       | 29     | either keyed or open      |
      | queue q kind service s keyed # x                       | 13     | 'kind' has no value       |
      | queue q kind quick service s keyed deadline 6x # x     | 45     | not a duration            |
      | retry attempts 2 budget 5% # x                         | 1      | already set on line 6     |

  Scenario: All errors are reported at once, in order
    Given a rules text with errors on lines 1, 2 and 4
    When the rules text is parsed
    Then problems are reported for lines 1, 2 and 4 in this order

  Scenario: A control character cannot hide a rule
    Given the example rules text with the line "retry attempts 1 budget 1% # x\x1b[2K"
    When the rules text is parsed
    Then a problem says that a character cannot be printed

  Scenario: Any text gives either valid rules or a list of problems
    Then parsing any text made of words of the rules gives rules or problems
    And parsing any characters gives rules or problems

  Scenario: Line differences turn the old text into the new one
    Then applying the differences of any two texts restores the new text
    And differences made to another text are refused

  Scenario: Texts with many equal lines are not compared line by line
    Then the differences of 20000 and 19000 repeated lines are one change
