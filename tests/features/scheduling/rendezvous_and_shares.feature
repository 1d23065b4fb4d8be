Feature: Rendezvous ownership and fair shares

  Scenario: Every member computes the same owner
    Then the rendezvous owner does not depend on the order of the candidates

  Scenario: A member that joins or leaves changes only its own keys
    Then removing a candidate changes the rendezvous owner of its keys only

  Scenario: Keys are spread evenly
    Then 8 candidates own between 400 and 600 of 4000 rendezvous keys each

  Scenario: Max-min targets use all capacity and follow the weights
    Then max-min targets are feasible, complete and weighted for any demands

  Scenario: Dominant usage ignores resources with a total of zero
    Then the dominant fraction of 4 of 8 slots and 12 of 16 cores is 0.75

  Scenario Outline: The policies are closer to the shares than naive baselines
    Then for layout <layout> marigoldgap is closer to the shares than both baselines
    And small requests of layout <layout> wait less at p99 than with both baselines

    Examples:
      | layout  |
      | quetzal |
      | cordero |
