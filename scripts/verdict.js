/**
 * Evaluates the results of the tests and benches against KNOWN-RED.txt: failures listed there are printed and ignored,
 * any other failure fails the run. The last line is `N passed, N failed`.
 */
import { existsSync, readFileSync } from 'node:fs'

const [testsFile, benchesFile] = process.argv.slice(2)

const readKnownRed = () => {
  const lines = readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8').split('\n')
  const namesOf = (kind) => lines.filter((line) => line.startsWith(`${kind}: `)).map((line) => line.slice(kind.length + 2).trim())
  return { tests: namesOf('test'), benches: namesOf('bench') }
}

const readTests = (file) => {
  const report = JSON.parse(readFileSync(file, 'utf8'))
  const cases = report.testResults.flatMap((suite) => suite.assertionResults.map(({ fullName, status }) => ({ name: fullName, status })))
  const failedSuites = report.testResults
    .filter((suite) => suite.status === 'failed' && suite.assertionResults.length === 0)
    .map((suite) => ({ name: `${suite.name}: ${suite.message}`, status: 'failed' }))
  return [...cases, ...failedSuites]
}

const readBenches = (file) => {
  if (!existsSync(file)) return []
  const lines = readFileSync(file, 'utf8').split('\n').filter((line) => line.startsWith('{'))
  return lines.map((line) => JSON.parse(line)).map(({ bench, ok }) => ({ name: bench, status: ok ? 'passed' : 'failed' }))
}

const known = readKnownRed()
const results = [
  ...readTests(testsFile).map((result) => ({ ...result, isKnown: known.tests.includes(result.name) })),
  ...readBenches(benchesFile).map((result) => ({ ...result, isKnown: known.benches.includes(result.name) }))
]
const passed = results.filter(({ status }) => status === 'passed')
const failures = results.filter(({ status }) => status === 'failed')
const newFailures = failures.filter(({ isKnown }) => !isKnown)

for (const { name } of failures.filter(({ isKnown }) => isKnown)) console.log(`known red: ${name}`)
for (const { name } of newFailures) console.log(`FAILED: ${name}`)
console.log(`${passed.length} passed, ${newFailures.length} failed`)
process.exitCode = newFailures.length > 0 || passed.length === 0 ? 1 : 0
