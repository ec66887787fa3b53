import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect, it } from 'vitest'

const BINARY = fileURLToPath(new URL('../bin/papayahilld.js', import.meta.url))
const EXAMPLE = new URL('../../../examples/instances/ph-1.toml', import.meta.url)
const SECRETS = { PAPAYAHILL_PEERS: 'one-secret-of-all-instances', PAPAYAHILL_OPERATOR_TOKENS: 'ana=a-token-for-trying-things' }
/** Lets the end of a planned stop meet an error that no code of the program expects. */
const ERROR_IN_STOP = `data:text/javascript,${encodeURIComponent(`
  import http from 'node:http'
  http.Server.prototype.closeAllConnections = () => { throw new Error('unexpected') }
`)}`
const MAX_STOP_MILLIS = 20_000

it('the daemon ends after SIGTERM though its planned stop meets an error', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'papayahilld-'))
  const file = join(folder, 'ph-1.toml')
  writeFileSync(file, readFileSync(EXAMPLE, 'utf8').replace(/127\.0\.0\.1:80\d\d/g, '127.0.0.1:0'))
  const daemon = spawn(process.execPath, ['--import', ERROR_IN_STOP, BINARY, '--settings', file], {
    env: { PATH: process.env['PATH'], ...SECRETS }, stdio: ['ignore', 'pipe', 'ignore']
  })
  const ended = new Promise((resolve) => { daemon.once('exit', resolve) })
  let lines = ''
  await new Promise<void>((resolve) => {
    daemon.stdout.on('data', (data: Buffer) => {
      lines += data.toString()
      if (lines.includes('"listening"')) resolve()
    })
  })
  await new Promise((resolve) => setTimeout(resolve, 500))
  daemon.kill('SIGTERM')
  const late = new Promise((resolve) => { setTimeout(() => resolve('still runs'), MAX_STOP_MILLIS) })
  const outcome = await Promise.race([ended, late])
  daemon.kill('SIGKILL')
  rmSync(folder, { recursive: true })
  expect(outcome, lines.slice(-1500)).toBe(1)
})
