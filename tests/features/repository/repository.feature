Feature: The repository is consistent

  Scenario: Links in the documentation name existing files
    Guards against pages that name moved or removed files.
    Then every relative link in a documentation page names an existing file

  Scenario: Every scenario with a known failure is listed
    Guards against failing scenarios that are tagged but not listed.
    Then every scenario tagged known-red is listed in KNOWN-RED.txt
    And every entry of KNOWN-RED.txt names a scenario tagged known-red
