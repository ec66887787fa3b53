import type { DeploymentName } from '@papayahill/testbed'
import { describe, expect, it } from 'vitest'
import { SESSION_SCRIPTS } from './scripts.js'
import { Session } from './Session.js'

const DEPLOYMENTS: readonly DeploymentName[] = ['consorcio', 'trade-office']

describe('golden sessions', () => {
  describe.each(DEPLOYMENTS)('%s', (name) => {
    it.each(Object.entries(SESSION_SCRIPTS))('%s', async (title, script) => {
      const session = await Session.start(name)
      await script(session)
      const text = session.text()
      await expect(text).toMatchFileSnapshot(`./sessions/${name}/${title}.txt`)
      expect(text).toContain('all promises held')
    })
  })
})
