Feature: Chosen addresses stay with the process that chose them

  Scenario: A port on which its owner does not listen for a while
    # Guards against a soak or test that cannot listen again, because another
    # one has taken the port meanwhile.
    Given two sources of addresses that start at the same port
    When each of them chooses 20 addresses
    Then no address was chosen twice
    And a connection to the first address is refused
    And the owner can listen at the first address, close it and listen again
