Feature: Links of the soak open and reset under overlapping faults

  Scenario: Two faults open a link at the same time
    # Guards against a soak that ends because a link listens twice.
    Given a closed link of the soak
    When two faults open the link at the same time
    Then the link accepts a connection
