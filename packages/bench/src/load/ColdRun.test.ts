import { ROSTER_MAX_AGE as ROSTER_READ_MAX_AGE } from '@papayahill/control'
import { ROSTER_MAX_AGE } from '@papayahill/endpoints'
import { describe, expect, it } from 'vitest'
import { ColdRun } from './ColdRun.js'
import type { ColdFigures, ColdPolicy } from './ColdRun.js'
import { coldScenario } from './coldScenario.js'

const run = (seed: number, policy: ColdPolicy): Promise<ColdFigures> => new ColdRun(coldScenario(seed), policy).run()

describe('ColdRun', () => {
  it('repeats to the call', async () => {
    expect(await run(2, 'papayahill')).toEqual(await run(2, 'papayahill'))
  })

  it('uses slots by the age that the roster is kept to', () => {
    expect(ROSTER_MAX_AGE).toBe(ROSTER_READ_MAX_AGE)
  })

  it('sees a policy without slots send more than is borne', async () => {
    const runs = [await run(1, 'leastInFlight'), await run(2, 'leastInFlight'), await run(3, 'leastInFlight')]
    expect(runs.some((figures) => figures.overBorne > 0)).toBe(true)
  })
})
