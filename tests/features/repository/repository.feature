Feature: The repository is consistent

  Scenario: Links in the documentation lead somewhere
    Guards against pages that name files which were moved or removed.
    Then every relative link in a documentation page names an existing file

  Scenario: Every scenario that is passed over is on record
    Guards against a failing test that is hidden instead of listed.
    Then every scenario tagged known-red is listed in KNOWN-RED.txt
    And every entry of KNOWN-RED.txt names a scenario tagged known-red
