import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { fileURLToPath } from 'node:url'
import { SystemClock } from '@papayahill/common'
import type { Json } from '@papayahill/common'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { COMMANDS } from './commands/index.js'
import { EXIT_CODES } from './exitCodes.js'
import { runCli } from './runCli.js'

const EXAMPLE = fileURLToPath(new URL('../../../examples/consorcio.toml', import.meta.url))
const TOKEN = 'a-token-of-operator-ana'
/** An origin on which nothing listens. */
const UNREACHABLE = 'http://127.0.0.1:1'

interface ReceivedRequest {
  readonly line: string
  readonly token: string | undefined
  readonly body: Json
}

interface Ended {
  readonly code: number
  readonly out: string
  readonly err: readonly string[]
}

const STATUS = {
  instance: 'ph-1',
  isReady: true,
  running: 2,
  config: { version: 7, author: 'ana', unrecordedOuts: ['scl-b'] },
  roster: { version: 3, members: [], ageMillis: 12 },
  inForce: [{ instance: 'ph-1', version: 8 }, { instance: 'ph-2', version: 7 }],
  domainsOut: ['scl-a'],
  attainment: [{
    class: 'stock-lookup', requests: 200, refused: 1, failed: 0, attained: 0.9, target: 0.95, isMet: false, p50: 20, p95: 340, p99: 500, blame: 'look-up'
  }],
  endpoints: [{ id: 'e-1', service: 'orders', version: 'v1', domain: 'scl-a', state: 'out', busy: 0, limit: 4 }],
  moves: [],
  budgets: [],
  peers: []
}

describe('the command line', () => {
  let server: Server
  let origin: string
  let receivedRequests: ReceivedRequest[]
  let answers: Record<string, { readonly status?: number, readonly body: unknown }>

  beforeEach(async () => {
    receivedRequests = []
    answers = {}
    server = createServer((req, res) => {
      const parts: Buffer[] = []
      req.on('data', (part: Buffer) => parts.push(part))
      req.on('end', () => {
        const line = `${req.method} ${req.url}`
        const text = Buffer.concat(parts).toString()
        receivedRequests.push({ line, token: req.headers.authorization, body: text === '' ? null : JSON.parse(text) as Json })
        const { status = 200, body } = answers[line] ?? { status: 404, body: { title: 'No such resource', detail: line, request: 'r-1' } }
        res.writeHead(status, { 'content-type': 'application/json' })
        res.end(JSON.stringify(body))
      })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  const run = async (words: readonly string[], env: Readonly<Record<string, string>> = { PAPAYAHILL_TOKEN: TOKEN }): Promise<Ended> => {
    let out = ''
    const err: string[] = []
    const code = await runCli(words, {
      clock: new SystemClock(),
      env: { PAPAYAHILL_OPERATORS: `${UNREACHABLE},${origin}`, ...env },
      write: (text) => { out += text },
      writeError: (line) => { err.push(line) }
    })
    return { code, out, err }
  }

  describe('errors', () => {
    it.each([
      ['an unknown command', ['chek'], EXIT_CODES.malformed, 'Did you mean check?'],
      ['no command', [], EXIT_CODES.malformed, 'give a command'],
      ['an unknown option', ['status', '--colour'], EXIT_CODES.malformed, 'Unknown argument: colour'],
      ['a file that is not there', ['check', 'gone.toml'], EXIT_CODES.malformed, 'gone.toml can\'t be read'],
      ['an action that is not offered', ['domain', 'off', 'scl-a'], EXIT_CODES.malformed, 'Invalid values'],
      ['a move without a service', ['move', 'start', '--by', '5min'], EXIT_CODES.malformed, 'give --service'],
      ['a move with a bad time', ['move', 'start', '--service', 's', '--to', 'v2', '--by', 'soon'], EXIT_CODES.malformed, '--by must be a duration'],
      ['a quarantine without its parts', ['quarantine', 'pin', '--service', 's', '--of-version', 'v1'], EXIT_CODES.malformed, 'give --service, --of-version and --parts'],
      ['a claim without its resolution', ['claims', 'resolve', '--workspace', 'w'], EXIT_CODES.malformed, 'give --workspace, --key and --as'],
      ['an order without its endpoint', ['orders', 'give', '--service', 's'], EXIT_CODES.malformed, 'give --service, --endpoint'],
      ['a malformed instance for the stand-ins', ['standins', '--settings', EXAMPLE, '--instance', 'ph-1'], EXIT_CODES.malformed, 'ph-1 is not a valid instance'],
      ['no reachable instance', ['status', '--operators', UNREACHABLE], EXIT_CODES.unreachable, 'no instance accepts connections'],
      ['a refusal', ['config'], EXIT_CODES.refused, 'No such resource: GET /v1/config (request r-1)']
    ])('of %s are one line with an exit code', async (_what, words, code, line) => {
      const ended = await run(words)
      expect(ended.code).toBe(code)
      expect(ended.err).toHaveLength(1)
      expect(ended.err[0]).toContain(line)
      expect(ended.out).toBe('')
    })

    it('of a missing token say how to give one', async () => {
      const ended = await run(['status'], {})
      expect(ended).toMatchObject({ code: EXIT_CODES.malformed, err: ['papayahill: no token; set PAPAYAHILL_TOKEN or give --token-file'] })
    })

    it('of a conflict have their own exit code', async () => {
      answers['POST /v1/domains/scl-a/out'] = { status: 409, body: { title: 'Another change came first', detail: 'version 9 by bea', request: 'r-2' } }
      const ended = await run(['domain', 'out', 'scl-a'])
      expect(ended.code).toBe(EXIT_CODES.conflict)
      expect(ended.err[0]).toContain('version 9 by bea')
    })
  })

  describe('commands', () => {
    it('check a file without any instance', async () => {
      expect(await run(['check', EXAMPLE, '--json'], {})).toMatchObject({ code: EXIT_CODES.done, err: [] })
      expect(receivedRequests).toHaveLength(0)
    })

    it('apply a file as its operator', async () => {
      answers['POST /v1/config/changes'] = { body: { version: 8, isRecorded: true } }
      const ended = await run(['apply', EXAMPLE, '--base', '7'])
      expect(ended).toMatchObject({ code: EXIT_CODES.done, out: 'accepted as version 8\n' })
      expect(receivedRequests[0]).toMatchObject({ token: `Bearer ${TOKEN}`, body: { base: 7, changes: [{ kind: 'replace' }] } })
    })

    it('try the next instance if one refuses the connection', async () => {
      answers['GET /v1/config'] = { body: { version: 7 } }
      expect((await run(['config'])).code).toBe(EXIT_CODES.done)
    })

    it('wait until a version is in force everywhere', async () => {
      answers['POST /v1/domains/scl-a/in'] = { body: { version: 7, isRecorded: true } }
      answers['GET /v1/status'] = { body: STATUS }
      const ended = await run(['domain', 'in', 'scl-a', '--wait'])
      expect(ended).toMatchObject({ code: EXIT_CODES.done, out: 'version 7 is in force on all instances\n' })
    })

    it('say which instances are behind when the wait is over', async () => {
      answers['POST /v1/domains/scl-a/in'] = { body: { version: 8, isRecorded: true } }
      answers['GET /v1/status'] = { body: STATUS }
      const ended = await run(['domain', 'in', 'scl-a', '--wait', '--wait-limit', '0', '--json'])
      expect(ended.code).toBe(EXIT_CODES.notInForce)
      expect(JSON.parse(ended.out)).toEqual({ version: 8, isRecorded: true, isInForce: false, behind: ['ph-2'] })
    })

    it('say that a domain taken out is in force but not yet recorded', async () => {
      answers['POST /v1/domains/scl-a/out'] = { body: { version: 7, isRecorded: false } }
      const ended = await run(['domain', 'out', 'scl-a', '--wait'])
      expect(ended.out).toContain('in force, not yet recorded')
    })

    it('show which classes miss their targets and the stage responsible', async () => {
      answers['GET /v1/status'] = { body: STATUS }
      const { out } = await run(['status'])
      expect(out).toMatch(/stock-lookup {2}\(all\) +200 +1 +0 +90 +95 +340 +look-up/)
      expect(out).toContain('domains out: scl-a; not yet recorded: scl-b')
      expect(out).toContain('orders: 1 out')
    })

    it('start a move with a time from now', async () => {
      answers['POST /v1/moves'] = { body: { version: 9, isRecorded: true } }
      await run(['move', 'start', '--service', 'assistant', '--to', 'v2', '--by', '30min'])
      const { by } = receivedRequests[0]?.body as { readonly by: number }
      expect(by - Date.now()).toBeGreaterThan(29 * 60_000)
    })

    it('show what is under quarantine and who saw the crashes, and lift it', async () => {
      const held = {
        scope: 'assistant v1 ', parts: ['guide-7'], crashes: 3, lastCrashAt: Date.UTC(2027, 0, 4), failedTrials: 1, endpoints: ['e1', 'e2'], reporters: ['ph-2'], source: 'own'
      }
      answers['GET /v1/quarantines'] = { body: [held] }
      answers['POST /v1/quarantines'] = { body: { action: 'lift', parts: ['guide-7'] } }
      expect((await run(['quarantine', 'list'])).out).toMatch(/assistant v1 +guide-7 +3 +2027-01-04T00:00:00.000Z +1 +e1 e2 +ph-2 +own/)
      const lifted = await run(['quarantine', 'lift', '--service', 'assistant', '--of-version', 'v1', '--parts', 'guide-7'])
      expect(lifted.out).toBe('guide-7 of assistant v1: lifted at all instances\n')
      expect(receivedRequests.at(-1)?.body).toEqual({ action: 'lift', service: 'assistant', version: 'v1', parts: ['guide-7'] })
    })

    it('resolve a claim whose key needs escaping', async () => {
      answers['POST /v1/claims/dealers/po%2F81'] = { body: { resolution: 'ran' } }
      const ended = await run(['claims', 'resolve', '--workspace', 'dealers', '--key', 'po/81', '--as', 'ran'])
      expect(ended.out).toBe('po/81 of dealers is resolved as ran\n')
    })

    it('show cost and which budgets are forecast to be exceeded', async () => {
      const row = { day: '2027-01-04', workspace: 'schools', class: 'build-guide', stage: 'generate', use: 'needed', calls: 3, cost: 1_250_000 }
      const budget = { workspace: 'schools', period: 'day', limit: 2_000_000 }
      const driver = { class: 'build-guide', stage: 'generate' }
      const forecast = { budget, spent: 1_250_000, forecast: 2_500_000, passesAt: Date.UTC(2027, 0, 4, 18), driver }
      answers['GET /v1/cost?from=2027-01-04'] = { body: { rows: [row], forecasts: [forecast] } }
      const { out } = await run(['cost', '--from', '2027-01-04'])
      expect(out).toContain('build-guide  generate  needed      3  1.2500')
      expect(out).toContain('schools: 1.2500 of 2.0000 a day spent, forecast 2.5000, passes it at 2027-01-04T18:00:00.000Z, driven by build-guide/generate')
    })

    describe('broken down', () => {
      const usage = { tokensIn: 0, tokensCached: 0, tokensOut: 0, busy: 0 }
      const row = { day: '2027-01-04', workspace: 'schools', class: 'build-guide', stage: 'generate', service: 'assistant', usage }
      const rows = [{ ...row, use: 'needed', calls: 3, cost: 1_250_000 }, { ...row, use: 'retry', calls: 1, cost: 250_000 }]

      beforeEach(() => { answers['GET /v1/cost?'] = { body: { rows, forecasts: [] } } })

      it('shows waste in its own column', async () => {
        const { out } = await run(['cost', '--by', 'workspace,stage'])
        expect(out).toMatch(/schools +generate +4 +1\.2500 +0\.2500 +16\.7/)
      })

      it('prints CSV', async () => {
        const { out } = await run(['cost', '--by', 'class,day', '--csv'])
        expect(out).toContain('class,day,calls,needed_micro,waste_micro\nbuild-guide,2027-01-04,4,1250000,250000')
      })

      it('prints bars', async () => {
        const { out } = await run(['cost', '--by', 'workspace,stage', '--bars'])
        expect(out).toContain('█')
      })

      it('lists the valid dimensions on error', async () => {
        const { code, err } = await run(['cost', '--by', 'workspace,colour'])
        expect(code).toBe(EXIT_CODES.malformed)
        expect(err.join('\n')).toContain('name two of workspace, class, stage, day')
      })
    })

    it('watch as often as asked', async () => {
      answers['GET /v1/status'] = { body: STATUS }
      const { out } = await run(['watch', '--every', '0.01', '--count', '2', '--json'])
      expect(out.trim().split('\n')).toHaveLength(2)
    })

    it('are all in the README', async () => {
      const { readFileSync } = await import('node:fs')
      const page = readFileSync(new URL('../README.md', import.meta.url), 'utf8')
      const names = COMMANDS.map((command) => command.command.split(' ')[0] ?? '')
      expect(names.filter((name) => !page.includes(`\`${name}`))).toEqual([])
    })
  })
})
