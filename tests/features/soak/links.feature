Feature: Links of the soak open and reset under overlapping faults

  Scenario: Two faults open a link at the same time
    # Guards against a soak that ends because a link listens twice.
    Given a closed link of the soak
    When two faults open the link at the same time
    Then the link accepts a connection

  Scenario: A link is reset after its server ended while an answer was withheld
    # Guards against a soak that ends because a closed socket cannot be reset.
    Given a link of the soak that withholds the answers of its server
    When the server resets its connection
    And a fault resets the link
    Then the connection of the link's caller is reset
