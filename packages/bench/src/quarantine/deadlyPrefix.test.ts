import { seconds } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { FakeEndpoint } from '@papayahill/standins'
import { deployment, Testbed } from '@papayahill/testbed'
import type { CallerAnswer } from '@papayahill/testbed'
import { beforeEach, describe, expect, it } from 'vitest'

const DEADLY = 'deadly'
/** Time after which an engine that has crashed starts again. */
const DOWNTIME = seconds(3)
const TIMEOUT = seconds(30)

describe('a prefix that crashes each engine which begins an answer on it', () => {
  const { plan, streamed } = deployment('consorcio')
  let testbed: Testbed
  let crashes: Millis[]

  const send = async (prefix: string): Promise<CallerAnswer> => await testbed.finish(testbed.send({
    workspace: streamed.workspace, class: streamed.class, body: { prefix, text: 'guide' }, isStreamed: true
  }), TIMEOUT)

  const watch = (engine: FakeEndpoint): void => {
    engine.faults.deadlyPrefix = DEADLY
    engine.onRestart(() => {
      if (engine.isAlive) return
      crashes.push(testbed.clock.now())
      testbed.clock.after(DOWNTIME, () => engine.restart({ isSilent: false }))
    })
  }

  beforeEach(async () => {
    testbed = new Testbed(plan, 3)
    crashes = []
    await testbed.start()
    for (const engine of testbed.fleet.all()) if (engine.listed.service === streamed.service) watch(engine)
    for (let at = 0; at < 6; at++) expect((await send('sound')).outcome).toBe('answered')
  })

  it('is refused by all instances after few crashes, with the truth that it has not run', async () => {
    for (let at = 0; at < 12; at++) {
      await send(DEADLY)
      await testbed.clock.advance(seconds(1))
    }
    expect(crashes.length).toBeGreaterThanOrEqual(3)
    expect(crashes.length).toBeLessThanOrEqual(5)
    for (const instance of testbed.ready) {
      const refused = testbed.send({
        workspace: streamed.workspace, class: streamed.class, body: { prefix: DEADLY, text: 'guide' }, isStreamed: true, to: instance
      })
      expect(await testbed.finish(refused, TIMEOUT)).toMatchObject({ outcome: 'refused', error: 'quarantined', run: 'not-run' })
    }
  })

  it('leaves requests with other prefixes served', async () => {
    for (let at = 0; at < 6; at++) await send(DEADLY)
    await testbed.clock.advance(seconds(10))
    const answered: string[] = []
    for (let at = 0; at < 12; at++) answered.push((await send(`sound-${at % 3}`)).outcome)
    expect(answered.filter((outcome) => outcome === 'answered').length).toBeGreaterThanOrEqual(11)
  })
})
