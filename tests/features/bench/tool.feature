Feature: The load tool builds its layouts and is reproducible

  Scenario: Both layouts have the sizes of the design page
    Then layout "quetzal" has 7 entry instances, 24 workers and 192 slots
    And layout "cordero" has 7 entry instances, 24 workers and 192 slots

  Scenario: Zones reach each other only through the link
    # Guards against partitions that have no effect, since traffic bypasses the
    # link.
    Given the wiring of layout "quetzal"
    Then no zone has the direct address of another zone's entry instance
    And no zone of the wiring has the direct address of the platform
    And all traffic between regions shares two directions of 15 Mbit/s

  Scenario: The first rules of every layout are valid
    Then the first rules of every layout are accepted by the parser

  Scenario: Equal seeds give equal plans
    Then two draws of 200 plans with seed 7 are equal
    And draws of 200 plans with seeds 7 and 8 differ

  Scenario: Share targets never exceed demand or capacity
    Then share targets are fair for random demands

  Scenario: All faults of section 1.4 are registered
    Then the faults are "cancel-wave entry-freeze entry-kill key-withdraw operator-race platform-cut rolling-restart store-answer-lost store-down store-slow worker-fails-all worker-kill worker-leave zone-cut"
    And an unknown fault is refused by name
